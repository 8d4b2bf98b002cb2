#pragma once

#include "corneltally/core/digest.h"
#include "corneltally/core/json_log.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/entry/settings_sync_options.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/platform/log_client.h"
#include "corneltally/platform/log_service.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_replica.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace corneltally::entry {

/// Keeps the settings tree up to date from the log and from peers, and broadcasts each version to
/// all services. One source is sufficient: an instance that cannot reach the platform follows its
/// peers.
template <platform::log_service Log>
class settings_sync_service : public kernel::service
{
public:
    settings_sync_service(kernel::service_registry &inRegistry, std::unique_ptr<Log> inLog,
                          settings_sync_options inOptions);

    std::string_view name() const override { return "settings_sync"; }
    void start() override;
    std::string dump() const override;

    const settings::settings_replica &replica() const { return mReplica; }

private:
    using verdicts = std::vector<settings::record_verdict>;

    void readLog();
    void receivePage(const platform::read_result &inResult);
    void addPage(const platform::read_result &inResult);
    void retryLater(const core::error &inReason);
    void receiveRequest(const peer_received<settings_request> &inRequest);
    void receiveRecords(const peer_received<settings_records> &inRecords);
    void receiveSnapshot(const peer_received<settings_snapshot> &inSnapshot);
    void forwardToPeers(const std::vector<platform::log_record> &inRecords, std::uint64_t inFrom);
    void requestRecords(const std::string &inInstance);
    void requestNewer(const std::string &inInstance);
    void recordVerdicts(const verdicts &inVerdicts);
    void publish();
    void broadcastSettings();
    void confirm(core::time_point inAt);
    void checkSnapshot();
    void appendSnapshot();
    std::size_t snapshotRank() const;
    static std::int64_t sWallClockMs();

    kernel::service_registry &mRegistry;
    std::unique_ptr<Log> mLog;
    settings_sync_options mOptions;
    settings::settings_replica mReplica;
    std::uint64_t mReadFrom = 0;
    bool mLogReachable = false;
    bool mLogEndSeen = false;
    core::duration mRetryDelay;
    /// Version that was last broadcast to the services; the tree may be newer while further
    /// records are being read or are missing.
    std::optional<std::uint64_t> mPublished;
    /// The current settings; their successor shares the unchanged parts.
    std::shared_ptr<const settings::settings_index> mSettingsIndex;
    /// When the log or a peer last confirmed that the tree is up to date with the log.
    std::optional<core::time_point> mConfirmed;
    /// When the log itself last confirmed this.
    std::optional<core::time_point> mLogConfirmed;
    /// When a peer that reported a newer version was last asked for it, and the version known then.
    std::optional<core::time_point> mAskedAt;
    std::uint64_t mAskedWithVersion = 0;
    std::vector<std::string> mLive;
    std::set<std::string, std::less<>> mLeaving;
    std::vector<std::string> mSnapshotParts;
    std::optional<core::time_point> mNextSnapshot;
    /// Changes accepted and rejected since the start of the process, with those of the history.
    std::uint64_t mAccepted = 0;
    std::uint64_t mRejected = 0;
    std::string mLastRejection;
    std::mt19937_64 mRandom;
    kernel::timer mRetryTimer;
    kernel::timer mPeerTimer;
    kernel::timer mSnapshotTimer;
};

extern template class settings_sync_service<platform::log_client>;

namespace settings_sync_detail {

constexpr std::string_view cStream = "settings";
/// Maximum bytes of records in one message to a peer, well below the frame size limit.
constexpr std::size_t cMaxMessageBytes = 512 * 1024;
/// Maximum age of a log confirmation that is forwarded to peers.
constexpr core::duration cMaxForwardAge = std::chrono::seconds(2);
/// Maximum age of a confirmation by a peer: the age at which the peer still forwards it plus the
/// time in transit on a connection, which is closed after 2 s without data.
constexpr core::duration cMaxPeerConfirmationAge = std::chrono::seconds(4);
/// Minimum time between two snapshots, in which the first one can be read back from the log.
constexpr core::duration cMinSnapshotInterval = std::chrono::seconds(30);

} // namespace settings_sync_detail

template <platform::log_service Log>
settings_sync_service<Log>::settings_sync_service(kernel::service_registry &inRegistry,
                                                  std::unique_ptr<Log> inLog,
                                                  settings_sync_options inOptions)
    : mRegistry(inRegistry)
    , mLog(std::move(inLog))
    , mOptions(std::move(inOptions))
    , mRetryDelay(mOptions.minRetryDelay)
    , mRandom(std::random_device()())
    , mRetryTimer(inRegistry.loop(), [this] { readLog(); })
    , mPeerTimer(inRegistry.loop(), [this] { requestRecords(""); })
    , mSnapshotTimer(inRegistry.loop(), [this] { checkSnapshot(); })
{
    mRegistry.handle<peer_received<settings_request>>(
        name(), [this](const auto &inRequest) { receiveRequest(inRequest); });
    mRegistry.handle<peer_received<settings_records>>(
        name(), [this](const auto &inRecords) { receiveRecords(inRecords); });
    mRegistry.handle<peer_received<settings_snapshot>>(
        name(), [this](const auto &inSnapshot) { receiveSnapshot(inSnapshot); });
    mRegistry.handle<peer_connected>(
        name(), [this](const peer_connected &inPeer) { requestRecords(inPeer.instance); });
    mRegistry.handle<peer_settings_version>(name(), [this](const peer_settings_version &inPeer) {
        if (inPeer.version > mReplica.tree().version())
            requestNewer(inPeer.instance);
    });
    mRegistry.handle<endpoints_leaving>(name(), [this](const endpoints_leaving &inLeaving) {
        mLeaving = inLeaving.names;
        broadcastSettings();
    });
    mRegistry.handle<peers_changed>(
        name(), [this](const peers_changed &inChange) { mLive = inChange.live; });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) {
        // The answer to a read that was sent before the pause may never arrive.
        mLog->cancelAll();
        mSnapshotParts.clear();
        readLog();
    });
}

template <platform::log_service Log>
void settings_sync_service<Log>::start()
{
    readLog();
    mPeerTimer.startRepeating(mOptions.peerPeriod);
    mSnapshotTimer.startRepeating(mOptions.snapshotCheckPeriod);
}

template <platform::log_service Log>
void settings_sync_service<Log>::readLog()
{
    mRetryTimer.cancel();
    // Reads do not wait for new records until the end of the log was reached.
    const std::chrono::milliseconds wait
        = mLogEndSeen && mLogReachable ? mOptions.logWait : std::chrono::milliseconds(0);
    mLog->read(
        {.stream = std::string(settings_sync_detail::cStream), .from = mReadFrom, .wait = wait},
        [this](const platform::read_result &inResult) { receivePage(inResult); });
}

template <platform::log_service Log>
void settings_sync_service<Log>::receivePage(const platform::read_result &inResult)
{
    if (inResult.outcome == platform::read_outcome::failed
        || (inResult.outcome == platform::read_outcome::expired && inResult.first <= mReadFrom)) {
        retryLater(inResult.reason);
        return;
    }
    if (!mLogReachable)
        core::logEvent(core::log_level::info, "settings_log_connected", {{"from", mReadFrom}});
    mLogReachable = true;
    mRetryDelay = mOptions.minRetryDelay;
    mReplica.noteLogStart(inResult.first, sWallClockMs());
    if (inResult.outcome == platform::read_outcome::expired) {
        mReadFrom = inResult.first;
    } else {
        addPage(inResult);
        if (inResult.next < mReadFrom) {
            retryLater({core::error_kind::unavailable,
                        "the log ends at offset " + std::to_string(inResult.next)
                            + ", before records that were already read",
                        "check that the platform address names the right log"});
            return;
        }
    }
    readLog();
}

template <platform::log_service Log>
void settings_sync_service<Log>::addPage(const platform::read_result &inResult)
{
    const std::uint64_t known = mReplica.nextOffset();
    for (const platform::log_record &record : inResult.records) {
        recordVerdicts(mReplica.addLogRecord(record.offset, record.data, record.timeMs));
        mReadFrom = std::max(mReadFrom, record.offset + 1);
    }
    forwardToPeers(inResult.records, known);
    if (mReadFrom < inResult.next)
        return;
    mLogEndSeen = true;
    if (mReplica.hasGap()) {
        requestRecords("");
        return;
    }
    publish();
    // A log that ends before the offset that the tree covers does not confirm the tree.
    if (inResult.next < mReplica.nextOffset())
        return;
    mLogConfirmed = inResult.sentAt;
    confirm(inResult.sentAt);
}

template <platform::log_service Log>
void settings_sync_service<Log>::retryLater(const core::error &inReason)
{
    if (mLogReachable || !mLogEndSeen)
        core::logEvent(core::log_level::warning, "settings_log_unreachable",
                       {{"reason", inReason.message}, {"remedy", inReason.remedy}});
    mLogReachable = false;
    // The random delay keeps instances from reconnecting all at once after an outage.
    std::uniform_int_distribution<core::duration::rep> delay(mOptions.minRetryDelay.count() / 2,
                                                             mRetryDelay.count());
    mRetryTimer.startOnce(core::duration(delay(mRandom)));
    mRetryDelay = std::min(mRetryDelay * 2, mOptions.maxRetryDelay);
}

template <platform::log_service Log>
void settings_sync_service<Log>::receiveRequest(const peer_received<settings_request> &inRequest)
{
    const std::uint64_t after = inRequest.message.afterOffset;
    const std::uint64_t next = mReplica.nextOffset();
    if (next == 0 || after >= next)
        return;
    const auto records = mReplica.recordsAfter(after, settings_sync_detail::cMaxMessageBytes);
    // A peer without a tree receives the latest tree instead of its history.
    if (!records || (after == 0 && mReplica.tree().version() > 0)) {
        for (std::string &part : mReplica.snapshotRecords())
            mRegistry.post("peers",
                           peer_send{inRequest.instance, settings_snapshot{next - 1, part}});
        return;
    }
    settings_records answer;
    for (const auto &record : *records)
        answer.records.push_back({record.offset, record.data});
    const bool isConfirmed = mLogConfirmed
        && core::boot_clock::now() - *mLogConfirmed <= settings_sync_detail::cMaxForwardAge;
    // An answer without records confirms that the peer is up to date with the log.
    if (!answer.records.empty() || isConfirmed)
        mRegistry.post("peers", peer_send{inRequest.instance, answer});
}

template <platform::log_service Log>
void settings_sync_service<Log>::receiveRecords(const peer_received<settings_records> &inRecords)
{
    for (const settings_record &record : inRecords.message.records)
        recordVerdicts(mReplica.addPeerRecord(record.offset, record.data));
    if (mReplica.hasGap()) {
        requestRecords(inRecords.instance);
        return;
    }
    publish();
    if (inRecords.message.records.empty())
        confirm(core::boot_clock::now() - settings_sync_detail::cMaxPeerConfirmationAge);
}

template <platform::log_service Log>
void settings_sync_service<Log>::receiveSnapshot(const peer_received<settings_snapshot> &inSnapshot)
{
    const std::uint64_t before = mReplica.nextOffset();
    recordVerdicts(mReplica.addPeerSnapshot(inSnapshot.message.tree));
    if (mReplica.nextOffset() == before)
        return;
    core::logEvent(core::log_level::info, "settings_adopted_from_peer",
                   {{"peer", inSnapshot.instance},
                    {"version", mReplica.tree().version()},
                    {"next_before", before},
                    {"next", mReplica.nextOffset()}});
    if (!mReplica.hasGap())
        publish();
}

template <platform::log_service Log>
void settings_sync_service<Log>::forwardToPeers(const std::vector<platform::log_record> &inRecords,
                                                std::uint64_t inFrom)
{
    // Peers already have the history that is read at the start.
    if (!mLogEndSeen)
        return;
    settings_records message;
    std::size_t bytes = 0;
    const auto send = [&] {
        if (!message.records.empty())
            mRegistry.post("peers", peer_send{"", message});
        message.records.clear();
        bytes = 0;
    };
    for (const platform::log_record &record : inRecords) {
        if (record.offset < inFrom)
            continue;
        const bool isSnapshot = settings::snapshot_part::sIsSnapshot(record.data);
        message.records.push_back(
            {record.offset,
             isSnapshot ? std::string(settings::cSnapshotPlaceholder) : record.data});
        bytes += message.records.back().data.size();
        if (bytes >= settings_sync_detail::cMaxMessageBytes / 2)
            send();
    }
    send();
}

template <platform::log_service Log>
void settings_sync_service<Log>::requestRecords(const std::string &inInstance)
{
    const std::uint64_t next = mReplica.nextOffset();
    mRegistry.post("peers", peer_send{inInstance, settings_request{next == 0 ? 0 : next - 1}});
}

/// Asks a peer that reported a newer version, one peer at a time.
template <platform::log_service Log>
void settings_sync_service<Log>::requestNewer(const std::string &inInstance)
{
    const core::time_point now = core::boot_clock::now();
    const std::uint64_t version = mReplica.tree().version();
    if (mAskedAt && mAskedWithVersion == version && now - *mAskedAt < mOptions.peerAnswerTime)
        return;
    mAskedAt = now;
    mAskedWithVersion = version;
    requestRecords(inInstance);
}

template <platform::log_service Log>
void settings_sync_service<Log>::recordVerdicts(const verdicts &inVerdicts)
{
    for (const settings::record_verdict &verdict : inVerdicts) {
        if (verdict.outcome == settings::record_outcome::snapshot)
            continue;
        const bool isAccepted = verdict.outcome == settings::record_outcome::accepted;
        (isAccepted ? mAccepted : mRejected) += 1;
        if (!isAccepted)
            mLastRejection = verdict.changeId + ": " + verdict.reason.message;
        // Changes of the history that is read at the start were logged when they took effect.
        if (!mPublished)
            continue;
        core::logEvent(isAccepted ? core::log_level::info : core::log_level::warning,
                       isAccepted ? "settings_change_accepted" : "settings_change_rejected",
                       {{"change", verdict.changeId},
                        {"author", verdict.author},
                        {"offset", verdict.offset},
                        {"reason", verdict.reason.message},
                        {"remedy", verdict.reason.remedy}});
    }
}

template <platform::log_service Log>
void settings_sync_service<Log>::publish()
{
    const settings::settings_tree &tree = mReplica.tree();
    if (tree.version() == 0 || mPublished == tree.version())
        return;
    mPublished = tree.version();
    core::logEvent(core::log_level::info, "settings_in_force", {{"version", tree.version()}});
    mSettingsIndex = std::make_shared<const settings::settings_index>(
        tree, mOptions.endpointAddresses, mSettingsIndex.get());
    broadcastSettings();
}

template <platform::log_service Log>
void settings_sync_service<Log>::broadcastSettings()
{
    if (!mSettingsIndex)
        return;
    mRegistry.broadcast(settings_changed{mLeaving.empty()
                                             ? mSettingsIndex
                                             : std::make_shared<const settings::settings_index>(
                                                 mSettingsIndex->withLeaving(mLeaving))});
}

template <platform::log_service Log>
void settings_sync_service<Log>::confirm(core::time_point inAt)
{
    if (!mPublished || (mConfirmed && *mConfirmed >= inAt))
        return;
    mConfirmed = inAt;
    mRegistry.broadcast(settings_confirmed{inAt});
}

template <platform::log_service Log>
void settings_sync_service<Log>::checkSnapshot()
{
    const core::time_point now = core::boot_clock::now();
    if (!mLogReachable || !mLogEndSeen || !mSnapshotParts.empty()
        || (mNextSnapshot && now < *mNextSnapshot)
        || !mReplica.snapshotDue(sWallClockMs(), snapshotRank()))
        return;
    mNextSnapshot = now + settings_sync_detail::cMinSnapshotInterval;
    mSnapshotParts = mReplica.snapshotRecords();
    // Parts are appended from last to first; readers accept any order.
    appendSnapshot();
}

template <platform::log_service Log>
void settings_sync_service<Log>::appendSnapshot()
{
    mLog->append(std::string(settings_sync_detail::cStream), mSnapshotParts.back(),
                 [this](const platform::append_result &inResult) {
                     if (inResult.outcome != platform::append_outcome::appended) {
                         // A part that was written despite the failure is harmless.
                         core::logEvent(core::log_level::warning, "settings_snapshot_failed",
                                        {{"reason", inResult.reason.message}});
                         mSnapshotParts.clear();
                         return;
                     }
                     mSnapshotParts.pop_back();
                     if (!mSnapshotParts.empty())
                         appendSnapshot();
                     else
                         core::logEvent(core::log_level::info, "settings_snapshot_written",
                                        {{"offset", inResult.offset}});
                 });
}

template <platform::log_service Log>
std::size_t settings_sync_service<Log>::snapshotRank() const
{
    const std::uint64_t own = core::rendezvousWeight("settings-snapshot", mOptions.instance);
    return static_cast<std::size_t>(std::ranges::count_if(mLive, [&](const std::string &inName) {
        return core::rendezvousWeight("settings-snapshot", inName) > own;
    }));
}

template <platform::log_service Log>
std::int64_t settings_sync_service<Log>::sWallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

template <platform::log_service Log>
std::string settings_sync_service<Log>::dump() const
{
    const core::time_point now = core::boot_clock::now();
    const auto ageMs = [&](const std::optional<core::time_point> &inTime) {
        return inTime ? std::to_string((now - *inTime).count() / 1000) : std::string("null");
    };
    std::string text = "{\"version\":" + std::to_string(mReplica.tree().version());
    text += ",\"in_force\":" + (mPublished ? std::to_string(*mPublished) : "null");
    text += ",\"next_offset\":" + std::to_string(mReplica.nextOffset());
    text += std::string(",\"gap\":") + (mReplica.hasGap() ? "true" : "false");
    text += std::string(",\"log_reachable\":") + (mLogReachable ? "true" : "false");
    text += ",\"confirmed_age_ms\":" + ageMs(mConfirmed);
    text += ",\"log_confirmed_age_ms\":" + ageMs(mLogConfirmed);
    text += ",\"nodes\":" + std::to_string(mReplica.tree().nodes().size());
    text += ",\"accepted\":" + std::to_string(mAccepted);
    text += ",\"rejected\":" + std::to_string(mRejected);
    text += ",\"last_rejection\":\"" + core::jsonEscape(mLastRejection) + "\"";
    text
        += ",\"snapshot_offset\":" + std::to_string(mReplica.logRetention().snapshotOffset()) + "}";
    return text;
}

} // namespace corneltally::entry
