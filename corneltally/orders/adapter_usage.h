#pragma once

#include "corneltally/core/boot_clock.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace corneltally::orders {

/// Which adapters of an engine the requests of all instances run on. Instances tell the holder of
/// the engine at once when their first request on an adapter begins and their last one ends.
/// Heartbeats and the summaries of other failure domains repeat what is running, in case such a
/// message is lost.
class adapter_usage
{
public:
    /// A use that is not repeated for this long has ended; it is repeated five times a second.
    static constexpr core::duration sMaxAge = std::chrono::milliseconds(1500);
    /// Summaries that arrive within this time of an instance's message may be older than it.
    static constexpr core::duration sSummaryLag = std::chrono::milliseconds(600);

    /// An instance's first request on an adapter began, or its last one ended.
    void set(const std::string &inInstance, const std::string &inKey, bool inRunning,
             core::time_point inNow);

    /// Replaces the adapters that an instance's requests run on.
    void replace(const std::string &inInstance, const std::set<std::string, std::less<>> &inKeys,
                 core::time_point inNow);

    /// Replaces the adapters that the requests of a failure domain's instances run on.
    void replaceDomain(const std::string &inDomain, const std::set<std::string> &inInstances,
                       const std::set<std::string, std::less<>> &inKeys, core::time_point inNow);

    bool isRunning(std::string_view inKey, core::time_point inNow) const;

    /// Drops what is too old to count.
    void prune(core::time_point inNow);

private:
    using use_times = std::map<std::string, core::time_point, std::less<>>;

    std::map<std::string, use_times, std::less<>> mInstances;
    std::map<std::string, use_times, std::less<>> mDomains;
    /// When an instance's last request on an adapter ended.
    use_times mEnded;
};

} // namespace corneltally::orders
