#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/limits/permit_term.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace corneltally::limits {

/// Answer to a request for a permit.
struct permit_decision
{
    bool granted = false;
    /// When to ask again, if denied.
    core::duration retryIn{};

    friend auto operator<=>(const permit_decision &, const permit_decision &) = default;
};

/// Grants permits to send one request each to one endpoint. A permit is used within its term, which
/// starts before the grant. At most inLimit grants in any span of one second plus the length of the
/// term therefore keep each second within inLimit uses.
class permit_window
{
public:
    static constexpr core::duration sSpan = std::chrono::seconds(1) + permit_term::sValidity;

    /// Nothing is granted before inNotBefore, since an earlier grantor may have granted permits.
    explicit permit_window(core::time_point inNotBefore)
        : mNotBefore(inNotBefore)
    { }

    permit_decision request(const std::string &inRequester, std::size_t inLimit,
                            core::time_point inNow);

private:
    core::duration retryIn(const std::string &inRequester, std::size_t inLimit,
                           core::time_point inNow);

    core::time_point mNotBefore;
    std::deque<core::time_point> mGrants;
    /// When the denied requesters ask again. It spreads them over the times at which permits become
    /// available.
    std::map<std::string, core::time_point> mDenied;
};

} // namespace corneltally::limits
