#pragma once

#include "corneltally/claims/append_batcher.h"
#include "corneltally/claims/claim_table.h"
#include "corneltally/core/boot_clock.h"
#include "corneltally/core/error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::claims {

/// How a request's claim was decided.
enum class claim_verdict : std::uint8_t { granted, answered, conflict, unknown, refused };

/// A record of the claims stream as it was read.
struct stream_record
{
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    std::string data;
};

/// The claims of one instance: claims keys for requests, waits for other holders, and releases what
/// it holds for nobody. A request is granted only after its claim was read back as the holder.
class claim_coordinator
{
public:
    /// Requests that may wait for their claims; more are refused at once.
    static constexpr std::size_t cMaxPending = 4096;
    /// An append without an answer or a trace on the stream for this long says that the log cannot
    /// be written.
    static constexpr core::duration cAppendTimeout = std::chrono::seconds(3);
    /// How long claims are refused after appends failed, before the log is tried again.
    static constexpr core::duration cRefusalTime = std::chrono::seconds(1);

    struct result
    {
        std::string requestId;
        claim_verdict verdict = claim_verdict::refused;
        std::string claimId;
        /// Answer of the holder.
        int status = 0;
        std::string contentType;
        std::string body;
        /// Set unless the claim was granted or answered.
        core::error error;
        core::duration retryAfter{};
    };

    struct actions
    {
        std::vector<result> results;
        std::optional<claim_batch> append;
        /// The stream should be read now, without waiting for new records.
        bool readNow = false;
        std::optional<core::time_point> wakeAt;
    };

    claim_coordinator(std::string inInstance, std::uint64_t inIncarnation,
                      std::chrono::milliseconds inWindow);

    void setWindow(std::chrono::milliseconds inWindow);

    void begin(const std::string &inRequestId, const std::string &inKey,
               const std::string &inRequestDigest, core::time_point inDeadline,
               core::time_point inNow);
    /// The request was given up before its result was acted on: it will not be dispatched.
    void cancel(const std::string &inRequestId, core::time_point inNow);
    void finish(claim_record inDone, core::time_point inNow);
    void release(const std::string &inKey, const std::string &inClaimId, core::time_point inNow);

    /// A page of the stream; the read was sent at inSentAt. inNext is the end of the stream.
    void pageRead(const std::vector<stream_record> &inRecords, std::uint64_t inNext,
                  core::time_point inSentAt, core::time_point inNow);
    /// Records before inFirst are not kept any more: what was read before is forgotten.
    void pageExpired(std::uint64_t inFirst);
    void readFailed(core::time_point inNow);

    append_batcher &batcher() { return mBatcher; }
    const append_batcher &batcher() const { return mBatcher; }

    actions poll(core::time_point inNow);

    /// Offset to read from.
    std::uint64_t position() const { return mPosition; }
    /// Whether the stream was read to the end that was seen first.
    bool isCaughtUp() const { return mCaughtUp; }
    bool isLogReachable() const { return mReadable; }
    std::size_t pending() const { return mPending.size(); }
    const claim_table &table() const { return mTable; }

private:
    struct pending_request
    {
        std::string key;
        std::string requestDigest;
        core::time_point deadline;
        /// Of the claim that is on its way; empty while another claim holds the key.
        std::string claimId;
    };
    struct granted_claim
    {
        std::string key;
        std::string claimId;
        core::time_point expiresAt;
    };
    using pending_map = std::map<std::string, pending_request>;

    bool isWritable(core::time_point inNow) const { return inNow >= mRefuseUntil; }
    std::int64_t logTimeMs(core::time_point inNow) const;
    void claimOrWait(pending_map::iterator inPending, core::time_point inNow);
    bool answerFromHolder(pending_map::iterator inPending, core::time_point inNow);
    void applyRecord(const claim_record &inRecord, claim_table::effect inEffect,
                     core::time_point inNow);
    void applyOwnClaim(const claim_record &inRecord, bool inHeld, core::time_point inNow);
    void keyChanged(const std::string &inKey, core::time_point inNow);
    void answer(pending_map::iterator inPending, result inResult);
    void refuse(const std::string &inRequestId, std::string inMessage, core::duration inRetryAfter);
    void refuseClaiming(const std::string &inMessage, core::duration inRetryAfter);
    void expirePending(core::time_point inNow);
    void checkAppends(core::time_point inNow);
    void addRelease(const std::string &inKey, const std::string &inClaimId, core::time_point inNow);

    std::string mInstance;
    std::uint64_t mIncarnation;
    std::uint64_t mNextClaim = 1;
    claim_table mTable;
    append_batcher mBatcher;
    pending_map mPending;
    std::map<std::string, granted_claim> mGranted;
    std::vector<result> mResults;
    std::uint64_t mPosition = 0;
    std::optional<std::uint64_t> mCatchUpEnd;
    bool mCaughtUp = false;
    bool mReadable = false;
    core::time_point mLatestReadAt;
    core::time_point mRefuseUntil;
    int mFailuresSeen = 0;
};

} // namespace corneltally::claims
