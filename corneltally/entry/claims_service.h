#pragma once

#include "corneltally/claims/claim_coordinator.h"
#include "corneltally/core/json_log.h"
#include "corneltally/entry/claims_messages.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/platform/log_client.h"
#include "corneltally/platform/log_service.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::entry {

/// Orders idempotency claims through the platform's log: connects the claim coordinator to the log
/// and to the front end.
template <platform::log_service Log>
class claims_service : public kernel::service
{
public:
    claims_service(kernel::service_registry &inRegistry, std::unique_ptr<Log> inLog,
                   std::string inInstance, std::uint64_t inIncarnation);

    std::string_view name() const override { return "claims"; }
    void start() override { readStream(); }
    std::string dump() const override;

    const claims::claim_coordinator &coordinator() const { return mCoordinator; }

private:
    using page = platform::read_result;

    static bool isUsable(const page &inPage, std::uint64_t inFrom);
    void readStream();
    void probeStream();
    void applyPage(const page &inPage);
    void handleReadFailure(const core::error &inReason);
    void append(const claims::claim_batch &inBatch);
    void handleAppendResult(const std::string &inBatchId, const platform::append_result &inResult);
    void applyPause();
    void poll();
    void postResult(claims::claim_coordinator::result inResult);

    kernel::service_registry &mRegistry;
    std::unique_ptr<Log> mLog;
    claims::claim_coordinator mCoordinator;
    std::string mAppendingBatchId;
    bool mIsProbing = false;
    bool mIsUnreachableLogged = false;
    core::duration mRetryDelay;
    std::mt19937_64 mRandom;
    kernel::timer mRetryTimer;
    kernel::timer mWakeTimer;
    std::uint64_t mGranted = 0;
    std::uint64_t mRefused = 0;
    std::uint64_t mAppendsUnknown = 0;
};

extern template class claims_service<platform::log_client>;

namespace claims_detail {

constexpr std::string_view cStream = "claims";
/// Longest wait of a read for new records. Bounds how late an outage of the log is noticed: a read
/// without an answer fails 2 s after this time.
constexpr std::chrono::milliseconds cLogReadWait{1'000};
/// Bounds the size of a page: a record holds up to 256 KiB.
constexpr int cPageRecords = 64;
constexpr core::duration cMinRetryDelay = std::chrono::milliseconds(100);
constexpr core::duration cMaxRetryDelay = std::chrono::seconds(2);

inline claim_outcome toOutcome(claims::claim_decision inVerdict)
{
    switch (inVerdict) {
    case claims::claim_decision::granted:
        return claim_outcome::granted;
    case claims::claim_decision::answered:
        return claim_outcome::answered;
    case claims::claim_decision::conflict:
        return claim_outcome::conflict;
    case claims::claim_decision::unknown:
        return claim_outcome::unknown;
    case claims::claim_decision::refused:
        break;
    }
    return claim_outcome::refused;
}

} // namespace claims_detail

template <platform::log_service Log>
claims_service<Log>::claims_service(kernel::service_registry &inRegistry,
                                    std::unique_ptr<Log> inLog, std::string inInstance,
                                    std::uint64_t inIncarnation)
    : mRegistry(inRegistry)
    , mLog(std::move(inLog))
    , mCoordinator(std::move(inInstance), inIncarnation, settings::settings_index().claimWindow())
    , mRetryDelay(claims_detail::cMinRetryDelay)
    , mRandom(std::random_device()())
    , mRetryTimer(inRegistry.loop(), [this] { readStream(); })
    , mWakeTimer(inRegistry.loop(), [this] { poll(); })
{
    mRegistry.handle<claim_begin>(name(), [this](const claim_begin &inBegin) {
        mCoordinator.begin(inBegin.requestId, inBegin.key, inBegin.requestDigest, inBegin.deadline,
                           core::boot_clock::now());
        poll();
    });
    mRegistry.handle<claim_cancel>(name(), [this](const claim_cancel &inCancel) {
        mCoordinator.cancel(inCancel.requestId, core::boot_clock::now());
        poll();
    });
    mRegistry.handle<claim_finish>(name(), [this](const claim_finish &inFinish) {
        mCoordinator.finish({.key = inFinish.key,
                             .claimId = inFinish.claimId,
                             .status = inFinish.status,
                             .contentType = inFinish.contentType,
                             .body = inFinish.body},
                            core::boot_clock::now());
        poll();
    });
    mRegistry.handle<claim_release>(name(), [this](const claim_release &inRelease) {
        mCoordinator.release(inRelease.key, inRelease.claimId, core::boot_clock::now());
        poll();
    });
    mRegistry.handle<settings_changed>(name(), [this](const settings_changed &inChange) {
        mCoordinator.setWindow(inChange.settingsIndex->claimWindow());
    });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) { applyPause(); });
}

template <platform::log_service Log>
void claims_service<Log>::readStream()
{
    mRetryTimer.cancel();
    // Reads wait for new records only after the end of the stream was reached.
    const bool mayWait = mCoordinator.isCaughtUp() && mCoordinator.isLogReachable();
    const std::uint64_t from = mCoordinator.position();
    mLog->read({.stream = std::string(claims_detail::cStream),
                .from = from,
                .limit = claims_detail::cPageRecords,
                .wait = mayWait ? claims_detail::cLogReadWait : std::chrono::milliseconds(0)},
               [this, from](const page &inPage) {
                   if (isUsable(inPage, from)) {
                       applyPage(inPage);
                       readStream();
                   } else {
                       handleReadFailure(inPage.reason);
                   }
                   poll();
               });
}

/// Rejects pages that contradict what was read before: a log that ends before the read position, or
/// that calls the position expired without starting after it, is not the same log.
template <platform::log_service Log>
bool claims_service<Log>::isUsable(const page &inPage, std::uint64_t inFrom)
{
    switch (inPage.outcome) {
    case platform::read_outcome::records:
        return inPage.next >= inFrom;
    case platform::read_outcome::expired:
        return inPage.first > inFrom;
    case platform::read_outcome::failed:
        break;
    }
    return false;
}

/// Reads without waiting, in parallel with the read that waits for new records, to find out whether
/// an append with a lost answer took effect.
template <platform::log_service Log>
void claims_service<Log>::probeStream()
{
    mIsProbing = true;
    mLog->read({.stream = std::string(claims_detail::cStream),
                .from = mCoordinator.position(),
                .limit = claims_detail::cPageRecords},
               [this](const page &inPage) {
                   mIsProbing = false;
                   // Failures are handled by the waiting read, which also schedules the retries.
                   if (inPage.outcome == platform::read_outcome::records)
                       applyPage(inPage);
                   if (inPage.outcome != platform::read_outcome::failed)
                       poll();
               });
}

template <platform::log_service Log>
void claims_service<Log>::applyPage(const page &inPage)
{
    mRetryDelay = claims_detail::cMinRetryDelay;
    if (mIsUnreachableLogged)
        core::logEvent(core::log_level::info, "claims_log_connected",
                       {{"from", mCoordinator.position()}});
    mIsUnreachableLogged = false;
    if (inPage.outcome == platform::read_outcome::expired) {
        // A new process reads from position 0 only to learn where the stream begins.
        if (mCoordinator.position() > 0)
            core::logEvent(core::log_level::warning, "claims_stream_restarted",
                           {{"position", mCoordinator.position()}, {"first", inPage.first}});
        mCoordinator.pageExpired(inPage.first);
        return;
    }
    std::vector<claims::stream_record> records;
    records.reserve(inPage.records.size());
    for (const platform::log_record &record : inPage.records)
        records.push_back({record.offset, record.timeMs, record.data});
    mCoordinator.pageRead(records, inPage.next, inPage.sentAt, core::boot_clock::now());
}

template <platform::log_service Log>
void claims_service<Log>::handleReadFailure(const core::error &inReason)
{
    mCoordinator.readFailed(core::boot_clock::now());
    if (!mIsUnreachableLogged)
        core::logEvent(core::log_level::warning, "claims_log_unreachable",
                       {{"reason", inReason.message}, {"remedy", inReason.remedy}});
    mIsUnreachableLogged = true;
    // The jitter keeps instances from all returning at once after an outage.
    std::uniform_int_distribution<core::duration::rep> delay(
        claims_detail::cMinRetryDelay.count() / 2, mRetryDelay.count());
    mRetryTimer.startOnce(core::duration(delay(mRandom)));
    mRetryDelay = std::min(mRetryDelay * 2, claims_detail::cMaxRetryDelay);
}

template <platform::log_service Log>
void claims_service<Log>::append(const claims::claim_batch &inBatch)
{
    mAppendingBatchId = inBatch.id;
    mLog->append(std::string(claims_detail::cStream), claims::encodeBatch(inBatch),
                 [this, id = inBatch.id](const platform::append_result &inResult) {
                     handleAppendResult(id, inResult);
                     poll();
                 });
}

template <platform::log_service Log>
void claims_service<Log>::handleAppendResult(const std::string &inBatchId,
                                             const platform::append_result &inResult)
{
    const core::time_point now = core::boot_clock::now();
    switch (inResult.outcome) {
    case platform::append_outcome::appended:
        mCoordinator.batcher().appended(inBatchId);
        break;
    case platform::append_outcome::refused:
        mCoordinator.batcher().refused(inBatchId, now);
        break;
    case platform::append_outcome::unknown:
        ++mAppendsUnknown;
        mCoordinator.batcher().answerLost(inBatchId, now);
        break;
    }
}

template <platform::log_service Log>
void claims_service<Log>::applyPause()
{
    // Calls from before the pause may never be answered; an append among them may have taken
    // effect.
    mLog->cancelAll();
    mIsProbing = false;
    mCoordinator.batcher().answerLost(mAppendingBatchId, core::boot_clock::now());
    readStream();
    poll();
}

template <platform::log_service Log>
void claims_service<Log>::poll()
{
    const core::time_point now = core::boot_clock::now();
    claims::claim_coordinator::actions actions = mCoordinator.poll(now);
    for (claims::claim_coordinator::result &result : actions.results)
        postResult(std::move(result));
    if (actions.append)
        append(*actions.append);
    if (actions.readNow && !mIsProbing && mCoordinator.isLogReachable())
        probeStream();
    // Timers count milliseconds; the extra one keeps the timer from firing just before wakeAt.
    if (actions.wakeAt)
        mWakeTimer.startOnce(std::max<core::duration>(*actions.wakeAt - now, {})
                             + std::chrono::milliseconds(1));
    else
        mWakeTimer.cancel();
}

template <platform::log_service Log>
void claims_service<Log>::postResult(claims::claim_coordinator::result inResult)
{
    const bool isRefused = inResult.decision == claims::claim_decision::refused;
    mGranted += inResult.decision == claims::claim_decision::granted ? 1 : 0;
    mRefused += isRefused ? 1 : 0;
    const double seconds = std::ceil(std::chrono::duration<double>(inResult.retryAfter).count());
    mRegistry.post("front_end",
                   claim_result{.requestId = std::move(inResult.requestId),
                                .outcome = claims_detail::toOutcome(inResult.decision),
                                .claimId = std::move(inResult.claimId),
                                .status = inResult.status,
                                .contentType = std::move(inResult.contentType),
                                .body = std::move(inResult.body),
                                .error = std::move(inResult.error),
                                .retryAfterSeconds = static_cast<int>(seconds)});
}

template <platform::log_service Log>
std::string claims_service<Log>::dump() const
{
    const auto flag = [](bool inValue) { return inValue ? "true" : "false"; };
    std::string text = "{\"position\":" + std::to_string(mCoordinator.position());
    text.append(",\"caught_up\":").append(flag(mCoordinator.isCaughtUp()));
    text.append(",\"log_reachable\":").append(flag(mCoordinator.isLogReachable()));
    text.append(",\"keys\":").append(std::to_string(mCoordinator.table().size()));
    text.append(",\"pending\":").append(std::to_string(mCoordinator.pending()));
    text.append(",\"queued_records\":").append(std::to_string(mCoordinator.batcher().queued()));
    text.append(",\"append_failures\":").append(std::to_string(mCoordinator.batcher().failures()));
    text.append(",\"appends_unknown\":").append(std::to_string(mAppendsUnknown));
    text.append(",\"granted\":").append(std::to_string(mGranted));
    text.append(",\"refused\":").append(std::to_string(mRefused)).append("}");
    return text;
}

} // namespace corneltally::entry
