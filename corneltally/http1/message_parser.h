#pragma once

#include "corneltally/http1/message_head.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::http1 {

/// Incremental parser for one HTTP/1.1 message. Hides Boost.Beast, which is slow to compile, from
/// all other source files.
class message_parser
{
public:
    enum class kind { request, response };

    explicit message_parser(kind inKind, std::uint32_t inMaxHeaderBytes = sDefaultHeaderBytes);
    ~message_parser();
    message_parser(message_parser &&) noexcept;
    message_parser &operator=(message_parser &&) noexcept;

    /// Parses bytes and returns how many were consumed. The caller passes the remaining bytes
    /// again, followed by those that arrive next.
    std::size_t feed(std::string_view inBytes);

    /// Reports the end of the connection. It completes a body without a stated length; any other
    /// incomplete message fails.
    void feedEnd();

    bool headComplete() const;
    bool complete() const;
    bool failed() const;
    /// Whether the head exceeds the size limit; failed() is then true as well.
    bool headTooLarge() const;
    /// Whether only the end of the connection ends the body.
    bool endsWithConnection() const;

    /// Stated length of the body, if any; valid once the head is complete.
    std::optional<std::uint64_t> contentLength() const;

    /// Valid once the head is complete. Only the head that matches the parser's kind is filled.
    const request_head &request() const;
    const response_head &response() const;

    /// Returns and removes the body bytes parsed since the last call.
    std::string takeBody();

    /// Default limit on the size of a request or response head. Operators configure a separate
    /// limit for callers.
    static constexpr std::uint32_t sDefaultHeaderBytes = 64 * 1024;

    /// Parsed data, filled by an implementation in the source file.
    struct state;

private:
    std::unique_ptr<state> mState;
};

} // namespace corneltally::http1
