#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::scheduling {

/// Shares of the requests of each group that were served, over the last seconds. A group is for
/// example a kind of request or a client account.
class served_shares
{
public:
    /// Time in which the weight of a request falls to half. An overload lasts for some seconds.
    static constexpr core::duration sHalfLife = std::chrono::seconds(3);
    /// Groups of less weight are dropped.
    static constexpr double sMinWeight = 0.05;
    /// Maximum number of groups. Accounts come from the configuration, so that it is reached only
    /// if there are very many; a group beyond it is not counted and has the share 1.
    static constexpr std::size_t sMaxGroups = 4'096;

    void add(const std::string &inGroup, bool inServed, core::time_point inNow);

    /// Changes the number of served requests without adding a request: -1 if one that counted as
    /// served was not, 1 if one that did not was served later.
    void changeServed(std::string_view inGroup, double inChange, core::time_point inNow);

    /// Share of the group's requests that were served; the fewer there were, the closer to 1.
    double share(std::string_view inGroup, core::time_point inNow) const;

    /// Number of the group's requests, with the weight of their age.
    double weight(std::string_view inGroup, core::time_point inNow) const;

private:
    struct counts
    {
        double all = 0;
        double served = 0;
        core::time_point at;
    };

    void dropOld(core::time_point inNow);

    std::map<std::string, counts, std::less<>> mGroups;
    core::time_point mNextDrop;
};

} // namespace corneltally::scheduling
