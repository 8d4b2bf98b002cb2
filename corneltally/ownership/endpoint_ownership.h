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

/// Ownership of one endpoint by this instance, and which resident adapters may be in use by runs
/// that it does not know: those of an earlier owner and those whose end it did not see.
class endpoint_ownership
{
public:
    enum class phase { not_owner, acquiring, owning, releasing };

    phase current() const { return mPhase; }
    std::uint64_t fence() const { return mFence; }
    /// New runs and commands may be sent.
    bool isOwning() const { return mPhase == phase::owning; }

    /// Starts to acquire a fencing number, also to replace the own one.
    void acquire();

    /// The fencing number is registered: runs of earlier owners that are not at the endpoint yet
    /// will be refused. From now on every adapter is quarantined.
    void acquired(std::uint64_t inFence, core::time_point inNow);

    /// The same for an endpoint that does not check numbers: earlier owners may still send runs, so
    /// that reports end no quarantine before inQuarantineEnd, when the last of them has timed out.
    void acquiredUnfenced(core::time_point inNow, core::time_point inQuarantineEnd);

    /// Takes no new runs; running ones go on until lost() is called.
    void release();

    void lost();

    /// A run ended without certainty that it has ended at the endpoint. Reports of moments after
    /// inUntil show whether it has; if the run may still be on its way to the endpoint, no report
    /// does, and the adapter stays in use until a new fencing number is registered.
    void interrupted(std::string_view inAdapter, core::time_point inUntil);
    void interruptedInTransit(std::string_view inAdapter);

    /// A report that describes the moment inDescribedAt. An adapter without runs in it leaves the
    /// quarantine if that moment is late enough.
    void reported(std::span<const adapter_use> inAdapters, core::time_point inDescribedAt);

    bool isQuarantined(std::string_view inAdapter) const;

private:
    phase mPhase = phase::not_owner;
    std::uint64_t mFence = 0;
    /// Reports of later moments end quarantines.
    core::time_point mQuarantineEnd;
    std::set<std::string, std::less<>> mKnownIdle;
    std::map<std::string, core::time_point, std::less<>> mInterrupted;
};

/// Name of a phase in dumps and log lines.
std::string_view toString(endpoint_ownership::phase inPhase);

} // namespace corneltally::ownership
