#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::http1 {

/// Names and values of header fields, in the order and spelling in which they are transmitted.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Compares header names and other ASCII tokens case-insensitively.
bool equalsIgnoringCase(std::string_view inLeft, std::string_view inRight);

/// Value of the first field with a name, or nothing.
std::optional<std::string_view> findField(const header_fields &inFields, std::string_view inName);

/// Replaces all fields with a name by one with the given value.
void setField(header_fields &ioFields, std::string_view inName, std::string inValue);

void removeField(header_fields &ioFields, std::string_view inName);

/// Removes the hop-by-hop fields, including those named in Connection, and the fields that frame
/// the body.
void removeConnectionFields(header_fields &ioFields);

/// Request line and header fields.
struct request_head
{
    std::string method;
    std::string target;
    header_fields fields;
    /// Whether the sender uses HTTP/1.1 and thus accepts chunked bodies.
    bool chunkedAllowed = true;
    bool keepAlive = true;

    friend bool operator==(const request_head &, const request_head &) = default;
};

/// Status line and header fields.
struct response_head
{
    int status = 0;
    std::string reason;
    header_fields fields;
    /// Value of Content-Length, if present.
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = true;

    friend bool operator==(const response_head &, const response_head &) = default;
};

/// Serializes the head of a request. It must contain the fields that frame the body.
std::string formatHead(const request_head &inHead);

/// Serializes the head of a response. It must contain the fields that frame the body.
std::string formatHead(const response_head &inHead);

/// Whether a status code is one that HTTP defines the meaning of, if only by its first digit.
bool isValidStatus(int inStatus);

/// Standard reason phrase of a status code.
std::string_view reasonPhrase(int inStatus);

} // namespace corneltally::http1
