#include "corneltally/http1/message_head.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace corneltally::http1 {

namespace {

constexpr std::array<std::string_view, 8> cConnectionFields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

std::string_view trimmed(std::string_view inText)
{
    const auto first = inText.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return inText.substr(first, inText.find_last_not_of(" \t") - first + 1);
}

void appendFields(std::string &ioText, const header_fields &inFields)
{
    for (const auto &[name, value] : inFields)
        ioText.append(name).append(": ").append(value).append("\r\n");
    ioText.append("\r\n");
}

} // namespace

bool equalsIgnoringCase(std::string_view inLeft, std::string_view inRight)
{
    return std::ranges::equal(inLeft, inRight, [](char inFirst, char inSecond) {
        return std::tolower(static_cast<unsigned char>(inFirst))
            == std::tolower(static_cast<unsigned char>(inSecond));
    });
}

std::optional<std::string_view> findField(const header_fields &inFields, std::string_view inName)
{
    for (const auto &[name, value] : inFields) {
        if (equalsIgnoringCase(name, inName))
            return value;
    }
    return std::nullopt;
}

void setField(header_fields &ioFields, std::string_view inName, std::string inValue)
{
    removeField(ioFields, inName);
    ioFields.emplace_back(inName, std::move(inValue));
}

void removeField(header_fields &ioFields, std::string_view inName)
{
    std::erase_if(ioFields,
                  [&](const auto &inField) { return equalsIgnoringCase(inField.first, inName); });
}

void removeConnectionFields(header_fields &ioFields)
{
    std::vector<std::string> named;
    for (const auto &[name, value] : ioFields) {
        if (!equalsIgnoringCase(name, "Connection"))
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            named.emplace_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    for (const std::string &name : named)
        removeField(ioFields, name);
    for (const std::string_view name : cConnectionFields)
        removeField(ioFields, name);
}

std::string formatHead(const request_head &inHead)
{
    std::string text = inHead.method + " " + inHead.target + " HTTP/1.1\r\n";
    appendFields(text, inHead.fields);
    return text;
}

std::string formatHead(const response_head &inHead)
{
    std::string text = "HTTP/1.1 " + std::to_string(inHead.status) + " ";
    text.append(inHead.reason.empty() ? reasonPhrase(inHead.status) : inHead.reason);
    text.append("\r\n");
    appendFields(text, inHead.fields);
    return text;
}

bool isValidStatus(int inStatus)
{
    return inStatus >= 100 && inStatus < 600;
}

std::string_view reasonPhrase(int inStatus)
{
    switch (inStatus) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace corneltally::http1
