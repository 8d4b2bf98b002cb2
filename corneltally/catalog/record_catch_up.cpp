#include "corneltally/catalog/record_catch_up.h"

#include "corneltally/core/digest.h"

#include <algorithm>
#include <utility>

namespace corneltally::catalog {

record_catch_up::record_catch_up(std::string inInstance, catch_up_options inOptions)
    : mInstance(std::move(inInstance))
    , mOptions(inOptions)
{ }

void record_catch_up::peerReported(const std::string &inPeer, const operator_progress &inProgress,
                                   core::time_point inNow)
{
    if (!inProgress.isAheadOf(mProgress))
        return;
    mReports[inPeer] = {inProgress, inNow};
    if (!mBehindSince)
        mBehindSince = inNow;
}

void record_catch_up::received(store::position inEnd, core::time_point inNow)
{
    if (inEnd <= mProgress.end)
        return;
    mProgress.end = inEnd;
    progressed(inNow);
}

void record_catch_up::configurationApplied(std::uint64_t inVersion, core::time_point inNow)
{
    if (inVersion <= mProgress.configuration)
        return;
    mProgress.configuration = inVersion;
    progressed(inNow);
}

void record_catch_up::progressed(core::time_point inNow)
{
    std::erase_if(mReports, [this](const auto &inEntry) {
        return !inEntry.second.progress.isAheadOf(mProgress);
    });
    if (mReports.empty()) {
        mBehindSince.reset();
        mAskedAt.reset();
        mAttempts = 0;
        return;
    }
    mBehindSince = inNow;
    if (mAskedAt)
        mAskedAt = inNow;
}

store::position record_catch_up::reportedEnd() const
{
    store::position end = mProgress.end;
    for (const auto &[peer, last] : mReports)
        end = std::max(end, last.progress.end);
    return end;
}

/// Whether some instance has records that follow those of this one. Only those can be at the store;
/// a configuration that comes before them has been lost there.
bool record_catch_up::canStoreDeliver() const
{
    return reportedEnd() > mProgress.end;
}

std::optional<std::string> record_catch_up::peerToAsk(bool inStoreFailing, core::time_point inNow)
{
    if (!mBehindSince)
        return std::nullopt;
    if (mAskedAt
            ? inNow - *mAskedAt < mOptions.answerTimeout
            : !inStoreFailing && canStoreDeliver() && inNow - *mBehindSince < mOptions.storeTime)
        return std::nullopt;
    // A configuration counts most, since it may be lost at the store.
    const auto amount = [](const operator_progress &inProgress) {
        return std::pair(inProgress.configuration, inProgress.end);
    };
    operator_progress newest;
    for (const auto &[peer, last] : mReports) {
        if (inNow - last.at <= mOptions.reportLifetime && amount(last.progress) > amount(newest))
            newest = last.progress;
    }
    // The weights differ by instance and attempt, which spreads the requests of many instances.
    const std::string subject = mInstance + "/" + std::to_string(mAttempts);
    std::optional<std::string> chosen;
    std::uint64_t chosenWeight = 0;
    for (const auto &[peer, last] : mReports) {
        const std::uint64_t weight = core::rendezvousWeight(subject, peer);
        if (inNow - last.at > mOptions.reportLifetime || last.progress != newest
            || (chosen && weight <= chosenWeight))
            continue;
        chosen = peer;
        chosenWeight = weight;
    }
    if (chosen) {
        mAskedAt = inNow;
        ++mAttempts;
    }
    return chosen;
}

} // namespace corneltally::catalog
