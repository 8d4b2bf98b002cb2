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

/// Decision on a request's idempotency claim.
enum class claim_decision : std::uint8_t { granted, answered, conflict, unknown, refused };

/// A record of the claims stream as read from the log.
struct stream_record
{
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    std::string data;
};

/// Manages the idempotency claims of one instance: claims keys for requests, waits for other
/// holders of a key, and releases claims whose requests ended. A request is granted only after its
/// claim was read back from the log as the holder of the key.
class claim_coordinator
{
public:
    /// Limit of requests that wait for their claims; further ones are refused at once.
    static constexpr std::size_t cMaxPending = 4096;
    /// The log counts as not writable if an append neither is answered nor appears on the stream
    /// for this long.
    static constexpr core::duration cAppendTimeout = std::chrono::seconds(3);
    /// Time for which claims are refused after appends failed, before the log is tried again.
    static constexpr core::duration cRefusalTime = std::chrono::seconds(1);

    struct result
    {
        std::string requestId;
        claim_decision decision = claim_decision::refused;
        std::string claimId;
        /// The stored answer of the holder, if the claim was answered.
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
        /// Whether to read the stream now, without waiting for new records.
        bool readNow = false;
        std::optional<core::time_point> wakeAt;
    };

    claim_coordinator(std::string inInstance, std::uint64_t inIncarnation,
                      std::chrono::milliseconds inWindow);

    void setWindow(std::chrono::milliseconds inWindow);

    void begin(const std::string &inRequestId, const std::string &inKey,
               const std::string &inRequestDigest, core::time_point inDeadline,
               core::time_point inNow);
    /// Cancels a request before its result was acted on; it will not be dispatched.
    void cancel(const std::string &inRequestId, core::time_point inNow);
    void finish(claim_record inDone, core::time_point inNow);
    void release(const std::string &inKey, const std::string &inClaimId, core::time_point inNow);

    /// Applies a page of the stream; the read was sent at inSentAt. inNext is the end of the
    /// stream.
    void pageRead(const std::vector<stream_record> &inRecords, std::uint64_t inNext,
                  core::time_point inSentAt, core::time_point inNow);
    /// Called when the records before inFirst expired from the log; drops all state read before.
    void pageExpired(std::uint64_t inFirst);
    void readFailed(core::time_point inNow);

    append_batcher &batcher() { return mBatcher; }
    const append_batcher &batcher() const { return mBatcher; }

    actions poll(core::time_point inNow);

    /// Offset to read from.
    std::uint64_t position() const { return mPosition; }
    /// Whether the stream was read up to the end that the first page reported.
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
        /// Id of the claim that is queued or in flight; empty while another claim holds the key.
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
