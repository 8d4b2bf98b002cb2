#include "corneltally/http1/body_framing.h"

#include "corneltally/http1/message_head.h"

#include <algorithm>

namespace corneltally::http1 {

namespace {

std::string_view withoutSpaces(std::string_view inValue)
{
    const auto first = inValue.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return inValue.substr(first, inValue.find_last_not_of(" \t") - first + 1);
}

bool isToken(std::string_view inText)
{
    constexpr std::string_view cOtherCharacters = "!#$%&'*+-.^_`|~";
    return !inText.empty() && std::ranges::all_of(inText, [&](char inByte) {
        return (inByte >= '0' && inByte <= '9') || (inByte >= 'a' && inByte <= 'z')
            || (inByte >= 'A' && inByte <= 'Z')
            || cOtherCharacters.find(inByte) != std::string_view::npos;
    });
}

bool isNumber(std::string_view inText)
{
    return !inText.empty() && std::ranges::all_of(inText, [](char inDigit) {
        return inDigit >= '0' && inDigit <= '9';
    });
}

} // namespace

bool body_framing::add(std::string_view inName, std::string_view inValue)
{
    // Some receivers ignore a blank or a control byte in a name, others the field.
    if (!isToken(inName))
        return false;
    if (equalsIgnoringCase(inName, "Transfer-Encoding")) {
        if (mChunked || mHasLength || !equalsIgnoringCase(withoutSpaces(inValue), "chunked"))
            return false;
        mChunked = true;
    } else if (equalsIgnoringCase(inName, "Content-Length")) {
        if (mChunked || mHasLength || !isNumber(withoutSpaces(inValue)))
            return false;
        mHasLength = true;
    }
    return true;
}

} // namespace corneltally::http1
