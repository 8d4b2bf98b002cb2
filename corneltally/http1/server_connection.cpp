#include "corneltally/http1/server_connection.h"

#include "corneltally/kernel/event_loop.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace corneltally::http1 {

namespace {

/// Time to wait for the caller to close after the last response. An immediate close with unread
/// bytes would send a reset, which could discard the response before the caller reads it.
constexpr core::duration cLingerTime = std::chrono::seconds(1);
/// Idle time after which a connection that is to be closed is closed: a caller that has just read
/// an answer may be sending its next request.
constexpr core::duration cQuietTime = std::chrono::milliseconds(200);
/// The same for a new connection, whose first request may still be on its way.
constexpr core::duration cFirstRequestTime = std::chrono::seconds(1);
/// A body is held for repeats, and again in the output of the connection to the endpoint.
constexpr std::uint64_t cBodyCopies = 2;
/// Seconds after which a caller may return whose body found no place.
constexpr int cBusySeconds = 1;
/// Bytes of responses without a reader beyond which no further request is read.
constexpr std::size_t cMaxUnreadBytes = 128 * 1024;

} // namespace

std::string_view toString(connection_end inEnd)
{
    switch (inEnd) {
    case connection_end::open:
        return "open";
    case connection_end::caller:
        return "caller";
    case connection_end::idle_timeout:
        return "idle_timeout";
    case connection_end::closed_idle:
        return "closed_idle";
    case connection_end::linger_timeout:
        return "linger_timeout";
    case connection_end::aborted:
        break;
    }
    return "aborted";
}

server_connection::server_connection(kernel::event_loop &inLoop, int inSocket,
                                     const caller_limits &inLimits, core::duration inDataTimeout)
    : mStream(inLoop, inSocket, inDataTimeout)
    , mLimits(inLimits)
    , mParser(message_parser::kind::request, inLimits.maxHeaderBytes)
    , mTimer(inLoop, [this] { timedOut(); })
    , mResume(inLoop, [this] { readInput(); })
    , mIdleSince(core::boot_clock::now())
{
    mStream.setEvents({.onConnected = {},
                       .onInput = [this] { readInput(); },
                       .onDrained =
                           [this] {
                               resume();
                               const auto handler = mEvents.onDrained;
                               if (handler)
                                   handler();
                           },
                       .onEnd = [this](stream_end) { closed(connection_end::caller); }});
    armIdleTimer();
}

void server_connection::setEvents(events inEvents)
{
    mEvents = std::move(inEvents);
}

void server_connection::setLimits(const caller_limits &inLimits)
{
    if (mLimits == inLimits)
        return;
    mLimits = inLimits;
    if (mPhase != phase::idle)
        return;
    mParser = message_parser(message_parser::kind::request, mLimits.maxHeaderBytes);
    armIdleTimer();
}

void server_connection::armTimer(core::duration inDelay)
{
    mTimer.cancel();
    mTimer.startOnce(inDelay);
}

void server_connection::armIdleTimer()
{
    const core::duration idle = core::boot_clock::now() - mIdleSince;
    const core::duration limit = !mClosing ? mLimits.idleTimeout
        : mHadRequest                      ? cQuietTime
                                           : cFirstRequestTime;
    armTimer(std::max(core::duration::zero(), std::min(limit, mLimits.idleTimeout) - idle));
}

bool server_connection::awaitsFirstRequest() const
{
    return mPhase == phase::idle && !mHadRequest
        && core::boot_clock::now() - mIdleSince < cFirstRequestTime;
}

bool server_connection::unfinished() const
{
    return mPhase == phase::reading || mBusy || awaitsFirstRequest() || mStream.hasInput()
        || mStream.unsentBytes() > 0;
}

void server_connection::timedOut()
{
    if (mPhase == phase::reading) {
        refuse(408);
        return;
    }
    if (mPhase == phase::busy)
        return;
    if (mPhase == phase::idle) {
        idleTimedOut();
        return;
    }
    if (mStream.unsentBytes() > 0) {
        armTimer(cLingerTime);
        return;
    }
    closed(connection_end::linger_timeout);
}

/// Closes the connection for good: a request that arrives later is reset and was not read. One that
/// has arrived, also if it still waits in the socket because the event loop is late, is answered.
void server_connection::idleTimedOut()
{
    if (mStream.unsentBytes() > 0) {
        // A slow caller still reads; the socket's own timeout ends one that does not.
        mIdleSince = core::boot_clock::now();
        armIdleTimer();
        return;
    }
    // The reset of a later request would discard what the caller has not received yet.
    if (mStream.hasInput() || !mStream.isAcknowledged()) {
        armTimer(cQuietTime);
        return;
    }
    closed(mClosing ? connection_end::closed_idle : connection_end::idle_timeout);
}

void server_connection::closed(connection_end inEnd)
{
    mEnd = inEnd;
    mStream.close();
    mTimer.cancel();
    mResume.cancel();
    const auto handler = std::exchange(mEvents, {}).onClosed;
    if (handler)
        handler();
}

void server_connection::readInput()
{
    if (mPhase == phase::lingering) {
        discardInput();
        return;
    }
    if (mPhase != phase::busy)
        parse();
}

/// Returns false if a handler may have destroyed the connection.
bool server_connection::parse()
{
    while (true) {
        const std::string_view input = mStream.input();
        if (input.empty())
            return true;
        if (mPhase == phase::idle) {
            if (mStream.unsentBytes() > cMaxUnreadBytes)
                return true;
            mPhase = phase::reading;
            mArrived = core::boot_clock::now();
            armTimer(mLimits.headerTimeout);
        }
        const bool hadHead = mParser.headComplete();
        const std::size_t taken = mParser.feed(input);
        mStream.consume(taken);
        if (mParser.failed()) {
            refuse(mParser.headTooLarge() ? 431 : 400);
            return false;
        }
        if (mParser.headComplete()) {
            if ((!hadHead && !headReceived()) || !bodyReceived(mParser.takeBody()))
                return false;
            if (!mParser.complete() && !mContinueSent
                && findField(mParser.request().fields, "Expect").has_value()) {
                mContinueSent = true;
                mStream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (mParser.complete()) {
            mPhase = phase::busy;
            mBusy = true;
            mHadRequest = true;
            mHeadSent = false;
            mTimer.cancel();
            server_request request{mParser.request(), std::exchange(mBody, {}), mArrived,
                                   std::exchange(mReservation, {})};
            mKeepAlive = request.head.keepAlive;
            mChunkedAllowed = request.head.chunkedAllowed;
            mHeadRequest = request.head.method == "HEAD";
            const auto handler = mEvents.onRequest;
            if (handler)
                handler(std::move(request));
            return false;
        }
        if (taken == 0)
            return true;
    }
}

/// Refuses a request whose stated length is too large, before its body is read. Returns false if a
/// handler may have destroyed the connection.
bool server_connection::headReceived()
{
    armTimer(mLimits.bodyTimeout);
    mReservation = body_budget::sReserve(mBudget);
    const auto length = mParser.contentLength();
    if (!length)
        return true;
    if (*length > mLimits.maxBodyBytes) {
        refuse(413);
        return false;
    }
    if (!mReservation.grow(*length * cBodyCopies)) {
        mUnreadBytes = *length - mParser.takeBody().size();
        refuse(503);
        return false;
    }
    mBody.reserve(*length);
    return true;
}

bool server_connection::bodyReceived(std::string_view inData)
{
    const std::uint64_t size = mBody.size() + inData.size();
    if (size > mLimits.maxBodyBytes) {
        refuse(413);
        return false;
    }
    const std::uint64_t needed = size * cBodyCopies;
    if (needed > mReservation.bytes() && !mReservation.grow(needed - mReservation.bytes())) {
        refuse(503);
        return false;
    }
    mBody.append(inData);
    return true;
}

/// Answers a request that is not passed on and closes the connection.
void server_connection::refuse(int inStatus)
{
    mKeepAlive = false;
    mPhase = phase::busy;
    mBusy = true;
    mBody = {};
    mReservation = {};
    response_head head{.status = inStatus};
    if (inStatus == 503)
        head.fields.emplace_back("Retry-After", std::to_string(cBusySeconds));
    respond(std::move(head), {});
}

void server_connection::writeHead(response_head &ioHead)
{
    // Nothing that follows an announced close is answered.
    if (mClosing && !mStream.hasInput())
        mKeepAlive = false;
    if (!mKeepAlive)
        ioHead.fields.emplace_back("Connection", "close");
    mHeadSent = true;
    mStream.write(formatHead(ioHead));
}

void server_connection::respond(response_head inHead, std::string_view inBody)
{
    startResponse(std::move(inHead), inBody.size());
    sendBody(inBody);
    endResponse();
}

void server_connection::startResponse(response_head inHead, std::optional<std::uint64_t> inLength)
{
    const bool bodyless = inHead.status == 204 || inHead.status == 304;
    mChunked = false;
    mEndsWithConnection = false;
    if (inLength) {
        if (!bodyless)
            inHead.fields.emplace_back("Content-Length", std::to_string(*inLength));
    } else if (mChunkedAllowed) {
        mChunked = true;
        inHead.fields.emplace_back("Transfer-Encoding", "chunked");
    } else {
        mEndsWithConnection = true;
        mKeepAlive = false;
    }
    writeHead(inHead);
}

void server_connection::sendBody(std::string_view inData)
{
    if (inData.empty() || mHeadRequest)
        return;
    if (mChunked) {
        std::array<char, 24> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", inData.size());
        std::string chunk(size.data(), static_cast<std::size_t>(length));
        chunk.append(inData).append("\r\n");
        mStream.write(chunk);
    } else {
        mStream.write(inData);
    }
}

void server_connection::endResponse()
{
    if (mChunked && !mHeadRequest)
        mStream.write("0\r\n\r\n");
    finishResponse();
}

void server_connection::finishResponse()
{
    mBusy = false;
    if (!mKeepAlive) {
        linger();
        return;
    }
    mPhase = phase::idle;
    mContinueSent = false;
    mParser = message_parser(message_parser::kind::request, mLimits.maxHeaderBytes);
    mIdleSince = core::boot_clock::now();
    armIdleTimer();
    resume();
}

/// Continues with a request that arrived meanwhile. Leaves that to the event loop, as the caller of
/// this function may be the handler of the last request.
void server_connection::resume()
{
    if (mPhase != phase::idle || mStream.input().empty())
        return;
    mResume.cancel();
    mResume.startOnce(core::duration::zero());
}

/// Closes the connection once the caller has sent the rest of its request and read the response:
/// many callers read only after they have sent everything.
void server_connection::linger()
{
    mPhase = phase::lingering;
    armTimer(mLimits.bodyTimeout);
    if (mUnreadBytes == 0)
        endLinger();
    discardInput();
}

void server_connection::discardInput()
{
    const std::size_t size = mStream.input().size();
    mStream.consume(size);
    const auto expected = static_cast<std::size_t>(std::min<std::uint64_t>(size, mUnreadBytes));
    mDiscardedBytes += size - expected;
    if (mUnreadBytes == 0)
        return;
    mUnreadBytes -= expected;
    if (mUnreadBytes == 0)
        endLinger();
}

void server_connection::endLinger()
{
    mStream.shutdownWrite();
    armTimer(cLingerTime);
}

void server_connection::abort()
{
    mBusy = false;
    if (mEndsWithConnection) {
        mStream.reset();
        closed(connection_end::aborted);
        return;
    }
    // The missing end shows that the response is not whole. Responses before it are.
    mKeepAlive = false;
    linger();
}

void server_connection::closeWhenIdle()
{
    mClosing = true;
    if (mPhase == phase::idle)
        armIdleTimer();
}

} // namespace corneltally::http1
