#include "corneltally/http1/client_connection.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

namespace corneltally::http1 {

namespace {

/// Timeout for opening a connection. A handshake takes a few milliseconds; a lost SYN is
/// retransmitted only after a second.
constexpr core::duration cConnectTime = std::chrono::milliseconds(400);

/// Interval at which it is checked whether the server has received the whole request.
constexpr core::duration cAcknowledgeInterval = std::chrono::milliseconds(5);

/// Limit on the bytes of interim and discarded responses in one exchange.
constexpr std::size_t cMaxSkippedBytes = 256 * 1024;
/// Limit on the bytes that wait for the end of a line, which is the largest unit of the parser.
constexpr std::size_t cMaxUnparsedBytes = message_parser::sDefaultHeaderBytes;

/// Parses the timeout from a Keep-Alive value such as "timeout=5, max=100".
std::optional<core::duration> keepAliveTimeout(std::string_view inValue)
{
    constexpr std::string_view cName = "timeout=";
    const auto start = inValue.find(cName);
    if (start == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char *first = inValue.data() + start + cName.size();
    if (std::from_chars(first, inValue.data() + inValue.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

client_connection::client_connection(kernel::event_loop &inLoop, const address &inTarget,
                                     core::duration inDataTimeout)
    : mStream(inLoop, inTarget, inDataTimeout)
    , mConnectTimer(inLoop, [this] { connectTimeExpired(); })
    , mAcknowledgeTimer(inLoop, [this] { endBodyWithConnection(); })
    , mTarget(inTarget)
    , mLastInput(core::boot_clock::now())
{
    mConnectTimer.startOnce(cConnectTime);
    mStream.setEvents({.onConnected = [this] { connected(); },
                       .onInput = [this] { readInput(); },
                       .onDrained = {},
                       .onEnd = [this](stream_end inEnd) { streamEnded(inEnd); }});
}

void client_connection::connected()
{
    mConnected = true;
    mConnectTimer.cancel();
    if (mRunning && mSendBefore)
        writeBefore(*mSendBefore);
}

void client_connection::connectTimeExpired()
{
    // Where the event loop is late, a connection that was established in time is reported in the
    // iteration in which the timer is due, after it.
    if (!std::exchange(mConnectTimeOver, true)) {
        mConnectTimer.startOnce(core::duration::zero());
        return;
    }
    if (mRunning && mSendBefore && core::boot_clock::now() >= *mSendBefore) {
        mReusable = false;
        finish(exchange_end::kind::not_begun, "no connection in time");
        return;
    }
    streamEnded(stream_end::failed);
}

void client_connection::writeBefore(core::time_point inEnd)
{
    if (core::boot_clock::now() < inEnd) {
        mStream.write(std::exchange(mUnsentRequest, {}));
        return;
    }
    mUnsentRequest.clear();
    mReusable = false;
    finish(exchange_end::kind::not_begun, "no connection in time");
}

void client_connection::start(const request_head &inHead, std::string_view inBody, events inEvents,
                              std::optional<core::time_point> inSendBefore)
{
    assert(!mRunning && mReusable);
    mEvents = std::move(inEvents);
    mParser.emplace(message_parser::kind::response);
    mRunning = true;
    mHeadDelivered = false;
    mDropping = false;
    mSkippedBytes = 0;
    mSentBefore = mStream.sentBytes();
    ++mExchanges;
    mSendBefore = inSendBefore;
    if (inSendBefore && !mConnected) {
        mUnsentRequest = formatHead(inHead).append(inBody);
        mConnectTimeOver = false;
        mConnectTimer.startOnce(
            std::clamp(*inSendBefore - core::boot_clock::now(), core::duration(1), cConnectTime));
        return;
    }
    mStream.write(formatHead(inHead));
    mStream.write(inBody);
}

void client_connection::readInput()
{
    mLastInput = core::boot_clock::now();
    if (!mRunning) {
        // These bytes belong to no request, so later bytes could be mistaken for a response.
        mReusable = false;
        mStream.close();
        return;
    }
    while (mRunning) {
        const std::string_view input = mStream.input();
        if (input.empty())
            return;
        const std::size_t taken = mParser->feed(input);
        mStream.consume(taken);
        if (mParser->failed()) {
            finish(exchange_end::kind::broken, "the bytes are not an answer");
            return;
        }
        if (!deliver(taken))
            return;
        if (taken == 0) {
            if (mStream.input().size() >= cMaxUnparsedBytes)
                finish(exchange_end::kind::broken, "the bytes are not an answer");
            return;
        }
    }
}

/// Reports parsed data through the events. Returns false if a handler may have destroyed the
/// connection.
bool client_connection::deliver(std::size_t inParsedBytes)
{
    if (mParser->headComplete() && !mHeadDelivered) {
        const response_head &head = mParser->response();
        if (head.status / 100 == 1) {
            // An interim response has no body and is followed by the final response.
            if (mParser->complete())
                mParser.emplace(message_parser::kind::response);
            return skip(inParsedBytes);
        }
        mHeadDelivered = true;
        mDropping = mEvents.accepts && !mEvents.accepts(head);
        updateReuse(head);
        if (!mDropping && mEvents.onHead) {
            const auto handler = mEvents.onHead;
            handler(head);
        }
    }
    if (!mRunning)
        return false;
    const std::string body = mParser->takeBody();
    if (!body.empty() && !mDropping && mEvents.onBody && !mEvents.onBody(body)) {
        finish(exchange_end::kind::broken, "the answer is too long");
        return false;
    }
    if (mDropping && !skip(inParsedBytes))
        return false;
    if (mParser->complete()) {
        if (mDropping) {
            mParser.emplace(message_parser::kind::response);
            mHeadDelivered = false;
            mDropping = false;
            return true;
        }
        finish(exchange_end::kind::complete, "complete");
        return false;
    }
    return true;
}

/// Counts bytes that are not reported. Returns false if the exchange ended because of them.
bool client_connection::skip(std::size_t inBytes)
{
    mSkippedBytes += inBytes;
    if (mSkippedBytes <= cMaxSkippedBytes)
        return true;
    finish(exchange_end::kind::broken, "the bytes are not an answer");
    return false;
}

void client_connection::updateReuse(const response_head &inHead)
{
    if (!inHead.keepAlive)
        mReusable = false;
    if (const auto value = findField(inHead.fields, "Keep-Alive"))
        mServerIdleLimit = keepAliveTimeout(*value);
}

void client_connection::finish(exchange_end::kind inOutcome, std::string_view inReason,
                               bool inConnectionLost)
{
    mRunning = false;
    mAcknowledgeTimer.cancel();
    const bool wasSent = sent();
    // Unsent request bytes or extra bytes after the response would corrupt the next exchange.
    if (inOutcome != exchange_end::kind::complete || !mStream.input().empty()
        || mStream.unsentBytes() > 0)
        mReusable = false;
    if (!mReusable)
        mStream.close();
    // The handler of the body may have stopped reading.
    mStream.setReading(true);
    const auto handler = std::exchange(mEvents, {}).onEnd;
    // The forwarding code uses the reason as a label value of attempts_failed_total, so the texts
    // must stay as they are.
    if (handler)
        handler({inOutcome, wasSent, inReason, inConnectionLost});
}

void client_connection::streamEnded(stream_end inEnd)
{
    mReusable = false;
    if (!mRunning) {
        mStream.close();
        return;
    }
    if (!mConnected) {
        finish(exchange_end::kind::not_connected, "no connection");
        return;
    }
    // Only an orderly close completes a body without a stated length.
    if (inEnd == stream_end::closed && mHeadDelivered && !mDropping
        && mParser->endsWithConnection()) {
        endBodyWithConnection();
        return;
    }
    finish(exchange_end::kind::broken,
           inEnd == stream_end::closed ? "the connection was closed" : "the connection failed",
           true);
}

/// Completes a body that ends with its connection once the server has received the whole request.
/// A server whose process ends in the middle of its answer closes its connections too, but resets
/// them when more of the request arrives.
void client_connection::endBodyWithConnection()
{
    if (mStream.hasFailed()) {
        streamEnded(stream_end::failed);
        return;
    }
    if (!mStream.isAcknowledged()) {
        mAcknowledgeTimer.startOnce(cAcknowledgeInterval);
        return;
    }
    mParser->feedEnd();
    if (mParser->complete())
        finish(exchange_end::kind::complete, "complete");
    else
        finish(exchange_end::kind::broken, "the connection was closed", true);
}

} // namespace corneltally::http1
