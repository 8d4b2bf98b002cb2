#include "corneltally/endpoint/engine_json.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace corneltally::endpoint {

namespace {

using nlohmann::json;

std::vector<engine_adapter> parseAdapters(const json &inState, const char *inName)
{
    std::vector<engine_adapter> adapters;
    const auto found = inState.find(inName);
    if (found == inState.end())
        return adapters;
    for (const json &entry : *found) {
        adapters.push_back({entry.at("adapter").get<std::string>(),
                            entry.at("version").get<std::string>(), entry.value("running", 0)});
    }
    return adapters;
}

} // namespace

std::optional<std::string> bodyWithPriority(std::string_view inBody, int inPriority)
{
    json body = json::parse(inBody, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    body["priority"] = inPriority;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string adapterBody(std::string_view inAdapter, std::string_view inVersion)
{
    return json{{"adapter", inAdapter}, {"version", inVersion}}.dump();
}

std::string errorType(std::string_view inBody)
{
    const json body = json::parse(inBody, nullptr, false);
    if (!body.is_object())
        return {};
    const auto found = body.find("error");
    if (found == body.end())
        return {};
    if (found->is_string())
        return found->get<std::string>();
    const auto type = found->is_object() ? found->find("type") : found->end();
    if (!found->is_object() || type == found->end() || !type->is_string())
        return {};
    return type->get<std::string>();
}

std::optional<std::uint64_t> highestFence(std::string_view inBody)
{
    const json body = json::parse(inBody, nullptr, false);
    const auto found = body.is_object() ? body.find("highest") : body.end();
    if (!body.is_object() || found == body.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

std::optional<engine_state> parseState(std::string_view inBody, core::time_point inRequestedAt)
{
    try {
        const json body = json::parse(inBody);
        engine_state state;
        state.outcome = engine_outcome::completed;
        state.fence = body.value("fence", std::uint64_t{0});
        state.resident = parseAdapters(body, "resident");
        state.loading = parseAdapters(body, "loading");
        state.queued = body.value("queued", 0);
        const core::duration age = std::chrono::milliseconds(body.at("age_ms").get<std::int64_t>());
        state.describedAt = inRequestedAt - age;
        return state;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<double> completionTokens(std::string_view inText)
{
    // Quotes inside JSON strings are escaped, so this text matches only an object key.
    static constexpr std::string_view cName = "\"completion_tokens\":";
    const std::size_t found = inText.rfind(cName);
    if (found == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = inText.substr(found + cName.size());
    while (rest.starts_with(' '))
        rest.remove_prefix(1);
    std::uint64_t tokens = 0;
    if (std::from_chars(rest.data(), rest.data() + rest.size(), tokens).ec != std::errc())
        return std::nullopt;
    return static_cast<double>(tokens);
}

} // namespace corneltally::endpoint
