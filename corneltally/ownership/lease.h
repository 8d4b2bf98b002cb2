#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/ownership/lease_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneltally::ownership {

class lease_table;

/// This instance's lease of one endpoint that does not check fencing numbers. Decides when to
/// append a record and whether the lease is held at a given time.
class lease
{
public:
    /// inFirstSequence must be greater than those of all earlier leases of this incarnation.
    lease(std::string inEndpoint, std::string inInstance, std::uint64_t inIncarnation,
          core::duration inLength, std::uint64_t inFirstSequence = 1);

    /// Returns the record to append now, if any: a first one once the lease of another instance has
    /// expired, or a renewal after half of the duration. To be called after observe(). The caller
    /// appends the record at once; the duration counts from inNow, before the append.
    std::optional<lease_record> propose(const lease_table &inTable, core::time_point inNow);

    /// Called when the append failed or its answer was lost; the record may or may not be on the
    /// log.
    void appendFailed(core::time_point inNow);

    /// Updates the state of the lease from the table, after records were read.
    void observe(const lease_table &inTable, core::time_point inNow);

    /// Drops the lease until the record of a later propose() is read.
    void drop();

    /// Whether the lease is certainly held; to be checked immediately before each command.
    bool isHeld(core::time_point inNow) const { return mHeldUntil && inNow < *mHeldUntil; }

    /// Offset of this instance's current record; 0 if there is none.
    std::uint64_t offset() const { return mOffset; }

private:
    std::string mEndpoint;
    std::string mInstance;
    std::uint64_t mIncarnation;
    core::duration mLength;
    std::uint64_t mNextSequence;
    /// Start times of the appends whose records were not read yet, by sequence.
    std::map<std::uint64_t, core::time_point> mStarted;
    std::optional<std::uint64_t> mPending;
    core::time_point mNotBefore;
    std::optional<core::time_point> mHeldUntil;
    std::uint64_t mOffset = 0;
};

} // namespace corneltally::ownership
