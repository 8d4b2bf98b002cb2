#include "corneltally/ownership/lease_record.h"

#include <nlohmann/json.hpp>

namespace corneltally::ownership {

std::string lease_record::toJson() const
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(length);
    return nlohmann::json{{"endpoint", endpoint},       {"instance", instance},
                          {"incarnation", incarnation}, {"sequence", sequence},
                          {"replaces", replaces},       {"duration_ms", milliseconds.count()}}
        .dump();
}

core::result<lease_record> lease_record::sFromJson(std::string_view inText)
{
    const nlohmann::json parsed = nlohmann::json::parse(inText, nullptr, false);
    try {
        lease_record record;
        record.endpoint = parsed.at("endpoint").get<std::string>();
        record.instance = parsed.at("instance").get<std::string>();
        record.incarnation = parsed.at("incarnation").get<std::uint64_t>();
        record.sequence = parsed.value("sequence", std::uint64_t{0});
        record.replaces = parsed.at("replaces").get<std::uint64_t>();
        record.length = std::chrono::milliseconds(parsed.at("duration_ms").get<std::int64_t>());
        return record;
    } catch (const nlohmann::json::exception &failure) {
        return core::error{core::error_kind::invalid_request,
                           std::string("lease record cannot be read: ") + failure.what(),
                           "ignore the record"};
    }
}

} // namespace corneltally::ownership
