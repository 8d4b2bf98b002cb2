#pragma once

#include "corneltally/http1/message_head.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace corneltally::http1 {

/// Incremental parser of one HTTP/1.1 message. Keeps Boost.Beast, which is slow to compile, out of
/// all other sources.
class message_parser
{
public:
    enum class kind { request, response };

    explicit message_parser(kind inKind, std::uint32_t inMaxHeaderBytes = sDefaultHeaderBytes);
    ~message_parser();
    message_parser(message_parser &&) noexcept;
    message_parser &operator=(message_parser &&) noexcept;

    /// Parses bytes and returns how many were taken. Bytes that were not taken have to be passed
    /// again, in front of those that arrive next.
    std::size_t feed(std::string_view inBytes);

    /// The connection ended. A body without a stated length ends with it; any other message that
    /// is not complete fails.
    void feedEnd();

    bool headComplete() const;
    bool complete() const;
    bool failed() const;
    /// The head is longer than the limit; failed() is true as well.
    bool headTooLarge() const;
    /// Whether the body ends with the connection.
    bool endsWithConnection() const;

    /// Valid once the head is complete; only the one of the parser's kind is filled.
    const request_head &request() const;
    const response_head &response() const;

    /// Body bytes since the last call.
    std::string takeBody();

    /// Head of a request or an answer that is longer than this is refused; the operators
    /// set another limit for callers.
    static constexpr std::uint32_t sDefaultHeaderBytes = 64 * 1024;

    /// What is known of the message; completed by the parser behind it.
    struct state;

private:
    std::unique_ptr<state> mState;
};

} // namespace corneltally::http1
