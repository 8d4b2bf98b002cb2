#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/error.h"

#include <cstdint>
#include <string>

namespace corneltally::entry {

/// Claims an idempotency key for a request; answered with claim_result.
struct claim_begin
{
    std::string requestId;
    /// Digest of client account, route and the caller's idempotency key.
    std::string key;
    std::string requestDigest;
    core::time_point deadline;
};

/// Cancels a pending idempotency claim; its request was not and will not be dispatched.
struct claim_cancel
{
    std::string requestId;
};

enum class claim_outcome : std::uint8_t {
    /// This request holds the key and may be dispatched.
    granted,
    /// Another request with the key completed; its answer is attached.
    answered,
    /// The key was used for a different request.
    conflict,
    /// Another request holds the key and its result is not known.
    unknown,
    /// The idempotency claim could not be ordered through the log; the request was not and will not
    /// be run.
    refused,
};

/// Answer to claim_begin, sent to the front end.
struct claim_result
{
    std::string requestId;
    claim_outcome outcome = claim_outcome::refused;
    std::string claimId;
    int status = 0;
    std::string contentType;
    std::string body;
    core::error error;
    int retryAfterSeconds = 0;
};

/// The claimed request completed; its answer is kept for repeats.
struct claim_finish
{
    std::string key;
    std::string claimId;
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The claimed request certainly did not run; the key may be claimed again.
struct claim_release
{
    std::string key;
    std::string claimId;
};

} // namespace corneltally::entry
