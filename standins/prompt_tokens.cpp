#include "standins/prompt_tokens.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

std::uint64_t textBytes(const json &inValue)
{
    if (inValue.is_string())
        return inValue.get_ref<const std::string &>().size();
    std::uint64_t bytes = 0;
    if (inValue.is_array()) {
        for (const json &entry : inValue)
            bytes += textBytes(entry);
    } else if (inValue.is_object() && inValue.contains("content")) {
        bytes += textBytes(inValue.at("content"));
    }
    return bytes;
}

} // namespace

std::uint64_t promptTokens(const json &inBody)
{
    std::uint64_t bytes = 0;
    for (const char *name : {"prompt", "messages"}) {
        if (inBody.contains(name))
            bytes += textBytes(inBody.at(name));
    }
    return std::max<std::uint64_t>(1, bytes / 4);
}

} // namespace standins
