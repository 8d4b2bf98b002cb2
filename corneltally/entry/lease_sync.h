#pragma once

#include "corneltally/core/json_log.h"
#include "corneltally/ownership/lease.h"
#include "corneltally/ownership/lease_table.h"
#include "corneltally/platform/log_service.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace corneltally::entry {

/// Reads the log stream "leases" and appends the records that the leases of this instance propose.
template <platform::log_service Log>
class lease_sync
{
public:
    /// Finds the lease of an endpoint; nullptr if this instance does not need it (any longer).
    using lease_finder = std::function<ownership::lease *(const std::string &inEndpoint)>;

    lease_sync(Log &inLog, std::function<core::time_point()> inNow, lease_finder inFinder)
        : mLog(inLog)
        , mNow(std::move(inNow))
        , mFindLease(std::move(inFinder))
    { }

    /// Reads the log and appends due records for the endpoints whose leases are needed.
    void tick(const std::vector<std::string> &inEndpoints)
    {
        if (inEndpoints.empty())
            return;
        if (!mReading && mNow() >= mNextRead)
            read();
        for (const std::string &endpoint : inEndpoints) {
            ownership::lease *lease = mFindLease(endpoint);
            if (lease == nullptr)
                continue;
            lease->observe(mTable, mNow());
            // A proposal that is based on an outdated table would be rejected.
            if (mCaughtUp)
                propose(*lease, endpoint);
        }
    }

    const ownership::lease_table &table() const { return mTable; }

private:
    static constexpr const char *sStream = "leases";

    void read()
    {
        mReading = true;
        mLog.read({.stream = sStream,
                   .from = mTable.nextOffset(),
                   .limit = 200,
                   .wait = std::chrono::milliseconds(1000)},
                  [this](const platform::read_result &inResult) { handleRecords(inResult); });
    }

    void handleRecords(const platform::read_result &inResult)
    {
        mReading = false;
        if (inResult.outcome == platform::read_outcome::failed) {
            mCaughtUp = false;
            mNextRead = mNow() + std::chrono::milliseconds(500);
            return;
        }
        if (inResult.outcome == platform::read_outcome::expired) {
            mTable.startAt(inResult.first);
            return;
        }
        for (const platform::log_record &entry : inResult.records) {
            const auto record = ownership::lease_record::sFromJson(entry.data);
            if (record) {
                mTable.apply(entry.offset, *record, mNow());
                if (ownership::lease *lease = mFindLease(record->endpoint))
                    lease->observe(mTable, mNow());
            } else {
                mTable.skip(entry.offset);
                core::logEvent(core::log_level::warning, "lease_record_ignored",
                               {{"offset", entry.offset}, {"reason", record.reason().message}});
            }
        }
        mCaughtUp = mTable.nextOffset() >= inResult.next;
    }

    void propose(ownership::lease &ioLease, const std::string &inEndpoint)
    {
        const auto record = ioLease.propose(mTable, mNow());
        if (!record)
            return;
        mLog.append(
            sStream, record->toJson(), [this, inEndpoint](const platform::append_result &inResult) {
                ownership::lease *lease = mFindLease(inEndpoint);
                if (lease != nullptr && inResult.outcome != platform::append_outcome::appended)
                    lease->appendFailed(mNow());
            });
    }

    Log &mLog;
    std::function<core::time_point()> mNow;
    lease_finder mFindLease;
    ownership::lease_table mTable;
    bool mReading = false;
    bool mCaughtUp = false;
    core::time_point mNextRead;
};

} // namespace corneltally::entry
