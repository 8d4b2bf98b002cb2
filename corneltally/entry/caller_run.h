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

/// A caller's request from its arrival until its answer is complete. Writes the answer to the
/// caller as its parts arrive.
class caller_run
{
public:
    /// The stage that the request has reached.
    enum class phase : std::uint8_t { admitting, claiming, running };

    /// Longest answer body that is kept for repeats of a claimed request.
    static constexpr std::size_t sMaxKeptBytes = 8 * 1024;
    /// Longest body of an answer that is not streamed.
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
    /// When the caller's connection was closed, if that was before the answer was complete.
    std::optional<core::time_point> disconnectedAt;

    void setHead(const run_head &inHead);
    /// Returns false if the answer exceeds sMaxAnswerBytes.
    bool addChunk(const run_chunk &inChunk);
    /// Sends the rest of the answer after the run completed.
    void finish();
    /// Answers with an error body, or ends a started stream with an error event.
    void fail(const caller_error &inError);
    /// Answers with the result of an earlier request with the same idempotency key.
    void replay(int inStatus, const std::string &inContentType, const std::string &inBody);

    /// Closes the caller's connection; later calls write nothing.
    void abortConnection();
    bool isClosedOrAnswered() const;
    std::size_t pendingBytes() const;
    const std::shared_ptr<http::exchange> &caller() const { return mCaller; }

    int status() const { return mStatus; }
    const std::string &contentType() const { return mContentType; }
    std::uint64_t partCount() const { return mPartCount; }
    bool isAnswerKept() const { return mIsAnswerKept; }
    /// The part of the answer that is kept for repeats.
    const std::string &keptBody() const { return isStreamed() ? mKeptStream : mBody; }

private:
    /// An error status of the endpoint is answered with a whole body, also if the caller asked for
    /// a stream.
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
