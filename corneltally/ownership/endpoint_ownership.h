#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/ownership/adapter_use.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace corneltally::ownership {

/// Tracks the ownership of one endpoint by this instance, and which resident adapters are
/// quarantined because unknown runs may use them: runs of an earlier owner and runs whose end this
/// instance did not see.
class endpoint_ownership
{
public:
    enum class phase { not_owner, acquiring, owning, releasing };

    phase current() const { return mPhase; }
    std::uint64_t fence() const { return mFence; }
    /// Whether new runs and commands may be sent.
    bool isOwning() const { return mPhase == phase::owning; }

    /// Starts to acquire a fencing number, also to replace this instance's current one.
    void acquire();

    /// Called when the fencing number is registered, so that the endpoint refuses runs of earlier
    /// owners that have not reached it yet. Quarantines every adapter.
    void acquired(std::uint64_t inFence, core::time_point inNow);

    /// The same for an endpoint that does not check fencing numbers. Earlier owners may still send
    /// runs, so no report ends a quarantine before inQuarantineEnd, when the last of them has timed
    /// out.
    void acquiredUnfenced(core::time_point inNow, core::time_point inQuarantineEnd);

    /// Accepts no new runs; running ones continue until lost() is called.
    void release();

    /// Ends the ownership and quarantines every adapter.
    void lost();

    /// Called when a run ended here but may still be running at the endpoint. Reports that describe
    /// a time after inUntil show whether it is. If the run may still be in transit to the endpoint,
    /// no report shows that, and the adapter stays quarantined until a new fencing number is
    /// registered.
    void interrupted(std::string_view inAdapter, core::time_point inUntil);
    void interruptedInTransit(std::string_view inAdapter);

    /// Applies a report that describes the time inDescribedAt. An adapter without runs leaves the
    /// quarantine if that time is after the end of its quarantine.
    void reported(std::span<const adapter_use> inAdapters, core::time_point inDescribedAt);

    bool isQuarantined(std::string_view inAdapter) const;

private:
    phase mPhase = phase::not_owner;
    std::uint64_t mFence = 0;
    /// Reports that describe a later time can end quarantines.
    core::time_point mQuarantineEnd;
    std::set<std::string, std::less<>> mKnownIdle;
    std::map<std::string, core::time_point, std::less<>> mInterrupted;
};

/// Name of a phase in dumps and log lines.
std::string_view toString(endpoint_ownership::phase inPhase);

} // namespace corneltally::ownership
