#include "standins/engine_stream.h"

#include "corneltally/core/json_log.h"
#include "standins/ledger.h"

#include <algorithm>

namespace standins {

namespace core = corneltally::core;

namespace {

/// Tokens per round without a token time. Larger rounds gain little and delay other streams.
constexpr std::uint64_t cTokensPerRound = 64;
/// A caller that does not read holds its stream back beyond this.
constexpr std::size_t cMaxPendingBytes = 512 * 1024;

} // namespace

engine_stream::engine_stream(engine_request inRequest)
    : mRequest(std::move(inRequest))
{
    const std::string model = core::jsonEscape(mRequest.model.toString());
    const std::string id = core::jsonEscape(mRequest.id);
    mEventHead = "data: {\"id\":\"" + id + "\",\"object\":\""
        + (mRequest.chat ? "chat.completion.chunk" : "text_completion") + "\",\"model\":\"" + model
        + "\",\"index\":";
    mTextHead = mRequest.model.toString() + " " + mRequest.id + " ";
    mTextTail.push_back(' ');
    mTextTail.append(mRequest.user.empty() ? "-" : mRequest.user).append(";");
}

void engine_stream::start(core::time_point inNow, core::duration inPrefill)
{
    mState = state::running;
    mFirstTokenAt = inNow + inPrefill;
    mStartedWall = wallSeconds();
}

void engine_stream::produce(core::time_point inNow, core::duration inTokenTime)
{
    if (mState != state::running || inNow < mFirstTokenAt)
        return;
    std::uint64_t due = mProduced + cTokensPerRound;
    if (inTokenTime.count() > 0)
        due = static_cast<std::uint64_t>((inNow - mFirstTokenAt) / inTokenTime) + 1;
    else if (mCaller && mCaller->pendingBytes() > cMaxPendingBytes)
        return;
    mProduced = std::max(mProduced, std::min(due, mRequest.maxTokens));
    if (mProduced == mRequest.maxTokens) {
        mState = state::finished;
        mEndedAt = inNow;
    }
}

void engine_stream::breakOff(core::time_point inNow)
{
    mState = state::broken;
    mEndedAt = inNow;
    abortCaller();
}

void engine_stream::attach(const exchange_pointer &inExchange, std::uint64_t inFrom,
                           bool inStreamed)
{
    abortCaller();
    mCaller = inExchange;
    mCallerStreams = inStreamed;
    mSent = inFrom;
}

void engine_stream::detach(const corneltally::http::exchange *inExchange)
{
    if (mCaller.get() == inExchange)
        mCaller.reset();
}

void engine_stream::flush()
{
    if (!mCaller || mState == state::queued)
        return;
    if (!mCallerStreams) {
        sendWhole();
        return;
    }
    if (mSent >= mProduced && mState != state::finished)
        return;
    if (mCaller->pendingBytes() > cMaxPendingBytes)
        return;
    if (!mCaller->isStreaming())
        mCaller->startStream(
            200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", mRequest.id}});
    std::string text;
    const std::uint64_t end = std::min(mProduced, mSent + 4 * cTokensPerRound);
    for (; mSent < end; ++mSent)
        appendEvent(text, mSent);
    const bool complete = mState == state::finished && mSent >= mProduced;
    if (complete)
        text.append("data: [DONE]\n\n");
    mCaller->sendChunk(text);
    if (complete) {
        const exchange_pointer caller = std::move(mCaller);
        mCaller.reset();
        caller->endStream();
    }
}

void engine_stream::abortCaller()
{
    if (!mCaller)
        return;
    const exchange_pointer caller = std::move(mCaller);
    mCaller.reset();
    if (!caller->isAnswered())
        caller->abort();
}

std::string engine_stream::tokenText(std::uint64_t inIndex) const
{
    std::string text = mTextHead;
    return text.append(std::to_string(inIndex)).append(mTextTail);
}

void engine_stream::appendEvent(std::string &ioText, std::uint64_t inIndex) const
{
    const bool last = inIndex + 1 == mRequest.maxTokens;
    const std::string text = core::jsonEscape(tokenText(inIndex));
    ioText.append(mEventHead).append(std::to_string(inIndex)).append(",\"choices\":[{\"index\":0,");
    if (mRequest.chat)
        ioText.append("\"delta\":{\"content\":\"").append(text).append("\"}");
    else
        ioText.append("\"text\":\"").append(text).append("\"");
    ioText.append(",\"finish_reason\":").append(last ? "\"length\"}]" : "null}]");
    if (last)
        ioText.append(",\"usage\":").append(usage());
    ioText.append("}\n\n");
}

std::string engine_stream::wholeAnswer() const
{
    std::string text;
    for (std::uint64_t index = 0; index < mProduced; ++index)
        text.append(tokenText(index));
    text = core::jsonEscape(text);
    std::string answer = "{\"id\":\"" + core::jsonEscape(mRequest.id) + "\",\"object\":\""
        + (mRequest.chat ? "chat.completion" : "text_completion") + "\",\"model\":\""
        + core::jsonEscape(mRequest.model.toString()) + "\",\"choices\":[{\"index\":0,";
    if (mRequest.chat)
        answer.append(R"("message":{"role":"assistant","content":")").append(text).append("\"}");
    else
        answer.append("\"text\":\"").append(text).append("\"");
    return answer + ",\"finish_reason\":\"length\"}],\"usage\":" + usage() + "}";
}

std::string engine_stream::usage() const
{
    const std::uint64_t total = mRequest.promptTokens + mRequest.maxTokens;
    std::string text = "{\"prompt_tokens\":";
    text.append(std::to_string(mRequest.promptTokens));
    text.append(",\"completion_tokens\":").append(std::to_string(mRequest.maxTokens));
    text.append(",\"total_tokens\":").append(std::to_string(total)).append("}");
    return text;
}

void engine_stream::sendWhole()
{
    if (mState != state::finished)
        return;
    const exchange_pointer caller = std::move(mCaller);
    mCaller.reset();
    caller->replyJson(200, wholeAnswer(), {{"X-Request-Id", mRequest.id}});
}

} // namespace standins
