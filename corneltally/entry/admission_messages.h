#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace corneltally::entry {

/// Asks the admission service for tokens; answered to the front end by admission_result.
struct admit
{
    std::string requestId;
    std::string account;
    double tokens = 0;
    core::time_point deadline;
};

/// The caller left or the request failed before admission was answered.
struct admit_cancel
{
    std::string requestId;
};

/// Answer to admit: no error means that the tokens were charged.
struct admission_result
{
    std::string requestId;
    std::optional<core::error> error;
    int retryAfterSeconds = 0;
};

/// Gives back what was charged at admission and not used. Without the request's id nothing is given
/// back, since the refund is limited by what happened to the bucket since that charge.
struct settle
{
    std::string account;
    double charged = 0;
    double used = 0;
    std::string requestId;
};

/// A peer asks for part of this instance's share of an account (fleet-wide limit).
struct loan_requested
{
    std::string instance;
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double tokens = 0;
};

/// A peer lent part of its share. Usable for the given duration from when the request was sent.
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

/// Lets the owner service ask for one unit of the fleet-wide weight store limit.
struct weight_load_admit
{
    std::string endpoint;
    std::string adapter;
    std::string version;
};

/// Answer to weight_load_admit, to the owner service.
struct weight_load_result
{
    std::string endpoint;
    std::string adapter;
    std::string version;
    bool granted = false;
    core::duration retryAfter{};
};

/// A granted load ended, so that its place among the loads in flight is free.
struct weight_load_done
{
    std::string endpoint;
    std::string adapter;
    std::string version;
};

} // namespace corneltally::entry
