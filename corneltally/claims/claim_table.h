#pragma once

#include "corneltally/claims/claim_record.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corneltally::claims {

/// The idempotency claim that holds a key, and the answer of its request once it is done.
struct claim_holder
{
    std::string claimId;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string requestDigest;
    /// Offset of the claim on the log.
    std::uint64_t offset = 0;
    bool done = false;
    int status = 0;
    std::string contentType;
    std::string body;

    friend auto operator<=>(const claim_holder &, const claim_holder &) = default;
};

/// State of all idempotency claims, by replay of the claims stream. Every reader of the same
/// records gets the same state:
/// - A claim gets the key if no other claim holds it at that offset. A claim that lost never gets
///   the key later, since its claimant may no longer wait for it.
/// - Only the first record with a claim id counts, so that a late duplicate of an earlier claim
///   does not get the key again after its release.
/// - A key expires one claim window after its last successful claim, by the clock of the log.
class claim_table
{
public:
    /// Effect of a record.
    enum class effect : std::uint8_t {
        /// The claim holds the key.
        held,
        /// The claim lost: another one held the key, or the claim id was used before.
        lost,
        released,
        done,
        /// A release or done of a claim that does not hold the key, or that is already done.
        none,
    };

    explicit claim_table(std::chrono::milliseconds inWindow);

    /// Changes the window; it should be the same on all instances.
    void setWindow(std::chrono::milliseconds inWindow) { mWindow = inWindow; }

    /// Removes all keys, before the stream is read again from its start.
    void clear();

    /// Applies the records of a batch in order; returns an effect for each.
    std::vector<effect> apply(std::uint64_t inOffset, std::int64_t inTimeMs,
                              const claim_batch &inBatch);

    /// Returns the holder of a key, or nullptr if the key is free. inTimeMs is the current time of
    /// the log, as far as known.
    const claim_holder *find(std::string_view inKey, std::int64_t inTimeMs) const;

    /// Time of the latest record.
    std::int64_t latestTimeMs() const { return mLatestMs; }
    std::size_t size() const { return mKeys.size(); }

    /// Returns all holders by key, for comparisons and the dump.
    std::map<std::string, claim_holder> holders() const;

private:
    struct key_state
    {
        std::optional<claim_holder> holder;
        /// Claim ids that were read from the stream within the window.
        std::vector<std::string> claimIds;
        std::int64_t claimedMs = 0;
    };

    effect applyClaim(const claim_record &inRecord, std::uint64_t inOffset);
    effect applyRelease(const claim_record &inRecord);
    effect applyDone(const claim_record &inRecord);
    void removeExpired();

    std::chrono::milliseconds mWindow;
    std::int64_t mLatestMs = 0;
    std::unordered_map<std::string, key_state> mKeys;
    /// Claim times and keys in order of time; a key is checked when its claim leaves the window.
    std::deque<std::pair<std::int64_t, std::string>> mByTime;
};

} // namespace corneltally::claims
