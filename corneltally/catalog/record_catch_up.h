#pragma once

#include "corneltally/catalog/operator_progress.h"
#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneltally::catalog {

/// Timing of a catch-up with other instances.
struct catch_up_options
{
    /// Time that the store has to deliver records which another instance already has.
    core::duration storeTime = std::chrono::milliseconds(400);
    /// Another instance is asked if the one asked before has sent nothing for this long.
    core::duration answerTimeout = std::chrono::milliseconds(700);
    /// Instances that have reported nothing for this long are not asked.
    core::duration reportLifetime = std::chrono::milliseconds(1000);
};

/// Decides when this instance asks another one for the operator records that it lacks, and which.
/// It asks one at a time and only if the store has not delivered the records, so that a record
/// crosses the links of each instance about once, however many instances there are.
class record_catch_up
{
public:
    explicit record_catch_up(std::string inInstance, catch_up_options inOptions = {});

    /// Another instance told what it has.
    void peerReported(const std::string &inPeer, const operator_progress &inProgress,
                      core::time_point inNow);

    /// This instance now has all records before a position, from the store or from another
    /// instance.
    void received(store::position inEnd, core::time_point inNow);

    /// A configuration has come into force here.
    void configurationApplied(std::uint64_t inVersion, core::time_point inNow);

    const operator_progress &progress() const { return mProgress; }

    /// Greatest end that another instance reported and this one has not reached, else its own.
    store::position reportedEnd() const;

    /// Returns the instance to ask now for the records from the own end on, if any: one of those
    /// that have the most, since another one may not know of withdrawn keys. The caller must ask
    /// it. inStoreFailing tells whether reads of the store currently fail.
    std::optional<std::string> peerToAsk(bool inStoreFailing, core::time_point inNow);

private:
    struct report
    {
        operator_progress progress;
        core::time_point at;
    };

    void progressed(core::time_point inNow);
    bool canStoreDeliver() const;

    std::string mInstance;
    catch_up_options mOptions;
    operator_progress mProgress;
    /// Last reports of the instances that have more records than this one.
    std::map<std::string, report> mReports;
    std::optional<core::time_point> mBehindSince;
    /// When an instance was asked or last sent records.
    std::optional<core::time_point> mAskedAt;
    std::uint64_t mAttempts = 0;
};

} // namespace corneltally::catalog
