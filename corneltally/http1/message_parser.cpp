#include "corneltally/http1/message_parser.h"

#include "corneltally/http1/body_framing.h"

#include <limits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace corneltally::http1 {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;

std::string toString(string_view inText)
{
    return {inText.data(), inText.size()};
}

/// Finds lines of a head that begin with a blank and thus continue the line before them.
class folded_line_finder
{
public:
    /// Scans the next bytes of a message; those after the head don't count. Returns whether a
    /// folded line was found in them.
    bool scan(std::string_view inBytes)
    {
        for (const char byte : inBytes) {
            if (mHeadEnded)
                return false;
            if (mAtLineStart && (byte == ' ' || byte == '\t'))
                return true;
            mHeadEnded = mAtLineStart && byte == '\r';
            mAtLineStart = byte == '\n';
        }
        return false;
    }

private:
    bool mAtLineStart = false;
    bool mHeadEnded = false;
};

} // namespace

struct message_parser::state
{
    request_head request;
    response_head response;
    std::string body;
    std::optional<std::uint64_t> contentLength;
    bool headComplete = false;
    bool failed = false;
    bool headTooLarge = false;

    virtual ~state() = default;
    virtual std::size_t put(std::string_view inBytes) = 0;
    virtual void putEnd() = 0;
    virtual bool done() const = 0;
    virtual bool needsEnd() const = 0;
};

namespace {

/// Stores the data of one message that Beast's parser reports through its callbacks.
template <bool isRequest>
class collecting_parser final : public message_parser::state,
                                private beast::http::basic_parser<isRequest>
{
    using base = beast::http::basic_parser<isRequest>;

public:
    explicit collecting_parser(std::uint32_t inMaxHeaderBytes)
    {
        base::eager(true);
        base::header_limit(inMaxHeaderBytes);
        // The connection's owner enforces the body limit, which depends on the peer. If no limit is
        // set here, Boost 1.74 rejects every body with a stated length.
        base::body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    std::size_t put(std::string_view inBytes) override
    {
        std::size_t taken = 0;
        while (taken < inBytes.size() && !base::is_done()) {
            error_code error;
            const std::size_t step = base::put(
                boost::asio::const_buffer(inBytes.data() + taken, inBytes.size() - taken), error);
            // HTTP no longer has folded lines. Beast joins them to the field before, which would
            // alter a value of the endpoint.
            if (!isRequest && mFoldedLines.scan(inBytes.substr(taken, step))) {
                failed = true;
                break;
            }
            taken += step;
            if (error == beast::http::error::need_more)
                break;
            if (error) {
                failed = true;
                headTooLarge = error == beast::http::error::header_limit;
                break;
            }
            if (step == 0)
                break;
        }
        return taken;
    }

    void putEnd() override
    {
        if (base::is_done())
            return;
        if (!headComplete) {
            failed = true;
            return;
        }
        error_code error;
        base::put_eof(error);
        if (error || !base::is_done())
            failed = true;
    }

    bool done() const override { return base::is_done(); }
    bool needsEnd() const override { return headComplete && base::need_eof() && !sizeKnown(); }

private:
    bool sizeKnown() const { return base::chunked() || base::content_length().has_value(); }

    header_fields &fields()
    {
        if constexpr (isRequest)
            return request.fields;
        else
            return response.fields;
    }

    void on_request_impl(beast::http::verb /*inVerb*/, string_view inMethod, string_view inTarget,
                         int inVersion, error_code & /*outError*/) override
    {
        mVersion = inVersion;
        request.chunkedAllowed = inVersion >= 11;
        request.method = toString(inMethod);
        request.target = toString(inTarget);
    }

    void on_response_impl(int inStatus, string_view inReason, int inVersion,
                          error_code &outError) override
    {
        // Beast accepts any three digits.
        if (!isValidStatus(inStatus)) {
            outError = beast::http::error::bad_status;
            return;
        }
        mVersion = inVersion;
        response.status = inStatus;
        response.reason = toString(inReason);
    }

    void on_field_impl(beast::http::field /*inField*/, string_view inName, string_view inValue,
                       error_code &outError) override
    {
        // Trailer fields after a chunked body are not part of the head and are discarded.
        if (headComplete)
            return;
        fields().emplace_back(toString(inName), toString(inValue));
        const auto &[name, value] = fields().back();
        if (!mFraming.add(name, value))
            outError = beast::http::error::bad_transfer_encoding;
    }

    void on_header_impl(error_code &outError) override
    {
        // HTTP/1.0 has no transfer codings.
        if (mFraming.isChunked() && mVersion < 11) {
            outError = beast::http::error::bad_transfer_encoding;
            return;
        }
        headComplete = true;
        if (base::content_length())
            contentLength = *base::content_length();
        if constexpr (isRequest) {
            request.keepAlive = base::keep_alive();
        } else {
            response.keepAlive = base::keep_alive();
            response.chunked = base::chunked();
            response.contentLength = contentLength;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*inLength*/,
                           error_code & /*outError*/) override
    { }

    std::size_t on_body_impl(string_view inBody, error_code & /*outError*/) override
    {
        body.append(inBody.data(), inBody.size());
        return inBody.size();
    }

    void on_chunk_header_impl(std::uint64_t /*inSize*/, string_view /*inExtensions*/,
                              error_code & /*outError*/) override
    { }

    std::size_t on_chunk_body_impl(std::uint64_t /*inRemaining*/, string_view inBody,
                                   error_code & /*outError*/) override
    {
        body.append(inBody.data(), inBody.size());
        return inBody.size();
    }

    void on_finish_impl(error_code & /*outError*/) override { }

    body_framing mFraming;
    folded_line_finder mFoldedLines;
    int mVersion = 11;
};

} // namespace

message_parser::message_parser(kind inKind, std::uint32_t inMaxHeaderBytes)
{
    if (inKind == kind::request)
        mState = std::make_unique<collecting_parser<true>>(inMaxHeaderBytes);
    else
        mState = std::make_unique<collecting_parser<false>>(inMaxHeaderBytes);
}

message_parser::~message_parser() = default;
message_parser::message_parser(message_parser &&) noexcept = default;
message_parser &message_parser::operator=(message_parser &&) noexcept = default;

std::size_t message_parser::feed(std::string_view inBytes)
{
    return mState->failed ? 0 : mState->put(inBytes);
}

void message_parser::feedEnd()
{
    if (!mState->failed)
        mState->putEnd();
}

bool message_parser::headComplete() const
{
    return mState->headComplete;
}

bool message_parser::complete() const
{
    return mState->done() && !mState->failed;
}

bool message_parser::failed() const
{
    return mState->failed;
}

bool message_parser::headTooLarge() const
{
    return mState->headTooLarge;
}

bool message_parser::endsWithConnection() const
{
    return mState->needsEnd();
}

std::optional<std::uint64_t> message_parser::contentLength() const
{
    return mState->contentLength;
}

const request_head &message_parser::request() const
{
    return mState->request;
}

const response_head &message_parser::response() const
{
    return mState->response;
}

std::string message_parser::takeBody()
{
    return std::exchange(mState->body, {});
}

} // namespace corneltally::http1
