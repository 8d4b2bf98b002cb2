#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::claims {

/// What a record of the claims stream says about a key.
enum class claim_action : std::uint8_t { claim, release, done };

/// A statement about an idempotency key.
struct claim_record
{
    claim_action action = claim_action::claim;
    std::string key;
    /// Unique over all instances and restarts.
    std::string claimId;
    /// Of a claim: who made it, and for which request.
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string requestDigest;
    /// Of done: the answer of the request.
    int status = 0;
    std::string contentType;
    std::string body;

    friend auto operator<=>(const claim_record &, const claim_record &) = default;
};

/// Records that share one record of the log.
struct claim_batch
{
    /// Unique over all instances and restarts; a batch that is sent again keeps its id.
    std::string id;
    std::vector<claim_record> records;

    friend auto operator<=>(const claim_batch &, const claim_batch &) = default;
};

/// Bodies above this size are not kept; a repeat is then answered without the body.
constexpr std::size_t cMaxClaimBody = 8 * 1024;

/// One record of the log, as JSON.
std::string encodeBatch(const claim_batch &inBatch);

/// None if the text is not a batch; a record of an unknown kind within a batch is left out.
std::optional<claim_batch> decodeBatch(std::string_view inText);

} // namespace corneltally::claims
