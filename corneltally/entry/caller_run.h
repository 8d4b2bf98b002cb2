#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/caller_answer.h"
#include "corneltally/entry/run.h"
#include "corneltally/entry/run_event.h"
#include "corneltally/http/message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace corneltally::http {
class exchange;
}

namespace corneltally::entry {

/// A caller's request between its arrival and its answer. Writes the answer as it arrives.
class caller_run
{
public:
    /// Where the request is.
    enum class phase : std::uint8_t { admitting, claiming, running };

    /// Longest answer body that is kept for repeats of a claimed request.
    static constexpr std::size_t sMaxKeptBytes = 8 * 1024;
    /// Longest answer that is not streamed.
    static constexpr std::size_t sMaxAnswerBytes = 16 * 1024 * 1024;

    caller_run(std::shared_ptr<http::exchange> inCaller, run inRequest,
               core::time_point inStartedAt);
    ~caller_run();
    caller_run(const caller_run &) = delete;
    caller_run &operator=(const caller_run &) = delete;

    const run &request() const { return mRequest; }
    run &mutableRequest() { return mRequest; }
    core::time_point startedAt() const { return mStartedAt; }

    phase currentPhase = phase::admitting;
    std::string keyDigest;
    double chargedTokens = 0;
    std::string claimKey;
    std::string claimId;
    /// Asks the caller to close its connection after the answer.
    bool closeAfterAnswer = false;
    /// When the caller closed its connection, if it did before the answer was complete.
    std::optional<core::time_point> disconnectedAt;

    void setHead(const run_head &inHead);
    /// Returns false if the answer grew over its limit.
    bool addChunk(const run_chunk &inChunk);
    /// The run completed: the rest of the answer is sent.
    void finish();
    /// Answers with an error body, or ends a started stream with an error event.
    void fail(const caller_error &inError);
    /// Answers with the result of an earlier request with the same key.
    void replay(int inStatus, const std::string &inContentType, const std::string &inBody);

    /// The caller takes no more; later calls write nothing.
    void abortConnection();
    bool isClosedOrAnswered() const;
    std::size_t pendingBytes() const;
    const std::shared_ptr<http::exchange> &caller() const { return mCaller; }

    int status() const { return mStatus; }
    const std::string &contentType() const { return mContentType; }
    std::uint64_t partCount() const { return mPartCount; }
    bool isAnswerKept() const { return mIsAnswerKept; }
    /// The answer as far as it is kept for repeats.
    const std::string &keptBody() const { return isStreamed() ? mKeptStream : mBody; }

private:
    /// A refusal by the endpoint is answered whole, also where a stream was asked for.
    bool isStreamed() const { return mRequest.stream && mStatus < 400; }
    http::header_list answerHeaders(const std::string &inContentType) const;

    std::shared_ptr<http::exchange> mCaller;
    run mRequest;
    core::time_point mStartedAt;
    int mStatus = 200;
    std::string mContentType = "application/json";
    std::string mBody;
    std::string mKeptStream;
    bool mIsAnswerKept = true;
    bool mIsDoneSent = false;
    std::uint64_t mPartCount = 0;
};

} // namespace corneltally::entry
