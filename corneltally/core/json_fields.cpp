#include "corneltally/core/json_fields.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace corneltally::core {

namespace {

using json = nlohmann::json;

constexpr double cMaxMilliseconds = 100.0 * 24 * 3600 * 1000;

} // namespace

double readNumber(const json &inObject, const char *inName, double inDefault)
{
    const auto found = inObject.find(inName);
    if (found == inObject.end() || !found->is_number())
        return inDefault;
    return std::clamp(found->get<double>(), 0.0, cMaxJsonNumber);
}

int readInteger(const json &inObject, const char *inName, int inDefault)
{
    return static_cast<int>(
        std::min<double>(readNumber(inObject, inName, inDefault), cMaxJsonInteger));
}

std::uint64_t readCount(const json &inObject, const char *inName)
{
    const auto found = inObject.find(inName);
    if (found != inObject.end() && found->is_number_unsigned())
        return found->get<std::uint64_t>();
    return static_cast<std::uint64_t>(readNumber(inObject, inName));
}

std::chrono::milliseconds readMilliseconds(const json &inObject, const char *inName)
{
    return std::chrono::milliseconds(
        static_cast<long long>(std::min(readNumber(inObject, inName), cMaxMilliseconds)));
}

std::string readText(const json &inObject, const char *inName)
{
    const auto found = inObject.find(inName);
    return found != inObject.end() && found->is_string() ? found->get<std::string>()
                                                         : std::string();
}

bool readFlag(const json &inObject, const char *inName)
{
    const auto found = inObject.find(inName);
    return found != inObject.end() && found->is_boolean() && found->get<bool>();
}

const json &readList(const json &inObject, const char *inName)
{
    static const json sEmpty = json::array();
    const auto found = inObject.find(inName);
    return found != inObject.end() && found->is_array() ? *found : sEmpty;
}

} // namespace corneltally::core
