#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::claims {

/// Action of a record of the claims stream.
enum class claim_action : std::uint8_t { claim, release, done };

/// An idempotency claim, its release or its completion.
struct claim_record
{
    claim_action action = claim_action::claim;
    std::string key;
    /// Unique over all instances and restarts.
    std::string claimId;
    /// Only for claim: the instance that made it, and the digest of its request.
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string requestDigest;
    /// Only for done: the answer of the request.
    int status = 0;
    std::string contentType;
    std::string body;

    friend auto operator<=>(const claim_record &, const claim_record &) = default;
};

/// Records that are appended as one record of the log.
struct claim_batch
{
    /// Unique over all instances and restarts; records that are sent again get a new batch id.
    std::string id;
    std::vector<claim_record> records;

    friend auto operator<=>(const claim_batch &, const claim_batch &) = default;
};

/// Bodies above this size are not stored; a repeated request then gets an error.
constexpr std::size_t cMaxClaimBody = 8 * 1024;

/// Encodes a batch as one record of the log, in JSON.
std::string encodeBatch(const claim_batch &inBatch);

/// Returns nothing if the text is not a batch. Records of an unknown kind within a batch are
/// skipped.
std::optional<claim_batch> decodeBatch(std::string_view inText);

} // namespace corneltally::claims
