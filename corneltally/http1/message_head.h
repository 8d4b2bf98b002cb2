#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::http1 {

/// Name and value of a header field, in the order and spelling of the wire.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Compares header names and other tokens without regard to case.
bool equalsIgnoringCase(std::string_view inLeft, std::string_view inRight);

/// Value of the first field of a name, or nothing.
std::optional<std::string_view> findField(const header_fields &inFields, std::string_view inName);

/// Removes all fields of a name and adds one with the value.
void setField(header_fields &ioFields, std::string_view inName, std::string inValue);

void removeField(header_fields &ioFields, std::string_view inName);

/// Removes the fields that concern one connection only, among them those that Connection names and
/// those that frame the body.
void removeConnectionFields(header_fields &ioFields);

/// First line and fields of a request.
struct request_head
{
    std::string method;
    std::string target;
    header_fields fields;
    /// Whether the sender speaks HTTP/1.1 and so takes chunked bodies.
    bool chunkedAllowed = true;
    bool keepAlive = true;

    friend bool operator==(const request_head &, const request_head &) = default;
};

/// First line and fields of an answer.
struct response_head
{
    int status = 0;
    std::string reason;
    header_fields fields;
    /// Length of the body if the head states it.
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = true;

    friend bool operator==(const response_head &, const response_head &) = default;
};

/// Head of a request as bytes. The caller has set the fields that frame the body.
std::string formatHead(const request_head &inHead);

/// Head of an answer as bytes. The caller has set the fields that frame the body.
std::string formatHead(const response_head &inHead);

/// Usual reason phrase of a status code.
std::string_view reasonPhrase(int inStatus);

} // namespace corneltally::http1
