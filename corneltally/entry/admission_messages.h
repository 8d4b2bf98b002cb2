#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace corneltally::entry {

/// Asks the admission service to charge tokens to an account; answered with admission_result.
struct admission_request
{
    std::string requestId;
    std::string account;
    double tokens = 0;
    core::time_point deadline;
};

/// Cancels an admission request whose caller disconnected or whose request failed before the
/// answer.
struct admission_cancel
{
    std::string requestId;
};

/// Answer to admission_request, sent to the front end. Without an error the tokens were charged.
struct admission_result
{
    std::string requestId;
    std::optional<core::error> error;
    int retryAfterSeconds = 0;
};

/// Refunds the tokens that were charged at admission and not used. Without the request id nothing
/// is refunded, since the refund is limited by the changes of the bucket since that charge.
struct charge_settle
{
    std::string account;
    double charged = 0;
    double used = 0;
    std::string requestId;
};

/// A peer asks to borrow part of this instance's share of an account's fleet-wide limit.
struct loan_requested
{
    std::string instance;
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double tokens = 0;
};

/// A peer lent part of its share. The loan is valid for the given duration from when the request
/// was sent.
struct loan_granted
{
    std::string instance;
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    core::duration validFor{};
};

/// From the owner service: asks for one load within the fleet-wide limit of the weight store.
struct weight_load_request
{
    std::string endpoint;
    std::string adapter;
    std::string version;
};

/// Answer to weight_load_request, to the owner service.
struct weight_load_result
{
    std::string endpoint;
    std::string adapter;
    std::string version;
    bool granted = false;
    core::duration retryAfter{};
};

/// From the owner service: a granted load ended and no longer counts as in flight.
struct weight_load_done
{
    std::string endpoint;
    std::string adapter;
    std::string version;
};

} // namespace corneltally::entry
