#include "corneltally/entry/caller_run.h"

#include "corneltally/http/exchange.h"

#include <algorithm>
#include <utility>

namespace corneltally::entry {

caller_run::caller_run(std::shared_ptr<http::exchange> inCaller, run inRequest,
                       core::time_point inStartedAt)
    : mCaller(std::move(inCaller))
    , mRequest(std::move(inRequest))
    , mStartedAt(inStartedAt)
{ }

caller_run::~caller_run() = default;

http::header_list caller_run::answerHeaders(const std::string &inContentType) const
{
    http::header_list headers{{"X-Request-Id", mRequest.requestId}};
    if (!inContentType.empty())
        headers.emplace_back("Content-Type", inContentType);
    if (closeAfterAnswer)
        headers.emplace_back("Connection", "close");
    return headers;
}

void caller_run::setHead(const run_head &inHead)
{
    mStatus = inHead.status;
    mContentType = inHead.contentType;
}

bool caller_run::addChunk(const run_chunk &inChunk)
{
    ++mPartCount;
    if (!isStreamed()) {
        mBody.append(inChunk.data);
        mIsAnswerKept = mBody.size() <= sMaxKeptBytes;
        return mBody.size() <= sMaxAnswerBytes;
    }
    const std::string event = streamEvent(inChunk.data);
    mIsDoneSent = mIsDoneSent || event == cStreamDone;
    mIsAnswerKept = mIsAnswerKept && mKeptStream.size() + event.size() <= sMaxKeptBytes;
    if (mIsAnswerKept && !claimKey.empty())
        mKeptStream.append(event);
    if (isClosedOrAnswered())
        return true;
    if (!mCaller->isStreaming())
        mCaller->startStream(mStatus, answerHeaders("text/event-stream"));
    mCaller->sendChunk(event);
    return true;
}

void caller_run::finish()
{
    if (isClosedOrAnswered())
        return;
    if (!isStreamed()) {
        mCaller->reply(mStatus, answerHeaders(mContentType), mBody);
        return;
    }
    if (!mCaller->isStreaming())
        mCaller->startStream(mStatus, answerHeaders("text/event-stream"));
    if (!mIsDoneSent)
        mCaller->sendChunk(cStreamDone);
    mCaller->endStream();
}

void caller_run::fail(const caller_error &inError)
{
    const std::string body = errorBody(inError, mRequest.requestId);
    mStatus = core::httpStatus(inError.error.kind);
    if (isClosedOrAnswered())
        return;
    if (mCaller->isStreaming()) {
        mCaller->sendChunk(streamEvent(body));
        mCaller->endStream();
        return;
    }
    http::header_list headers = answerHeaders("application/json");
    if (carriesRetryAfter(mStatus))
        headers.emplace_back("Retry-After", std::to_string(std::max(1, inError.retryAfterSeconds)));
    mCaller->reply(mStatus, headers, body);
}

void caller_run::replay(int inStatus, const std::string &inContentType, const std::string &inBody)
{
    mStatus = inStatus;
    if (isClosedOrAnswered())
        return;
    http::header_list headers = answerHeaders(inContentType);
    headers.emplace_back("Idempotent-Replay", "true");
    mCaller->reply(inStatus, headers, inBody);
}

void caller_run::abortConnection()
{
    if (!isClosedOrAnswered())
        mCaller->abort();
}

bool caller_run::isClosedOrAnswered() const
{
    return mCaller->isClosed() || mCaller->isAnswered();
}

std::size_t caller_run::pendingBytes() const
{
    return mCaller->pendingBytes();
}

} // namespace corneltally::entry
