#include "corneltally/fleet/mesh_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/fleet_codec.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/peer/connection.h"

#include <algorithm>
#include <utility>

namespace corneltally::fleet {

namespace {

/// Heartbeats carry loads and rate totals; the period limits how outdated these can be.
constexpr core::duration cHeartbeatPeriod = std::chrono::milliseconds(200);
/// An instance from which no heartbeat is received for this long, five periods, is not live.
constexpr core::duration cLiveTimeout = std::chrono::milliseconds(1000);
/// A connection is reopened if the other instance has not reported this one as live for this long,
/// since an established connection may be dead while new ones work.
constexpr core::duration cLiveReportTimeout = std::chrono::milliseconds(1500);
constexpr core::duration cMinRetryPause = std::chrono::milliseconds(100);
constexpr core::duration cMaxRetryPause = std::chrono::milliseconds(1000);
/// The record of an instance from which no heartbeat is received for this long is removed, so that
/// holders no longer need its reports. An instance that is still alive appends its record again.
constexpr core::duration cRecordRemovalTime = std::chrono::seconds(8);
/// An instance without a record still counts in the rate limits for this long, since it may be
/// alive but unreachable.
constexpr core::duration cForgetTimeout = std::chrono::seconds(60);

} // namespace

mesh_service::mesh_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                           mesh_options inOptions)
    : mRegistry(ioRegistry)
    , mMetrics(ioMetrics)
    , mOptions(std::move(inOptions))
    , mListener(ioRegistry.loop(),
                [this](std::unique_ptr<peer::connection> inConnection) {
                    accepted(std::move(inConnection));
                })
    , mTimer(ioRegistry.loop(), [this] { tick(); })
{
    mRegistry.handle<catalog::fleet_topic_updated>(
        cName, [this](const catalog::fleet_topic_updated &inUpdate) { topicUpdated(inUpdate); });
    mRegistry.handle<catalog::fleet_topic_append_ended>(
        cName, [this](const catalog::fleet_topic_append_ended &inEnded) {
            mAppendInFlight = false;
            if (inEnded.result.outcome != store::append_result::status::accepted)
                core::logEvent(core::log_level::warning, "instance_record_not_written",
                               {{"outcome", static_cast<int>(inEnded.result.outcome)}});
        });
    mRegistry.handle<catalog::operator_end_changed>(
        cName,
        [this](const catalog::operator_end_changed &inChanged) { mOperatorEnd = inChanged.end; });
    mRegistry.handle<catalog::operator_records_request>(
        cName, [this](const catalog::operator_records_request &inRequest) {
            send({inRequest.instance, operator_records_wanted{inRequest.from}});
        });
    mRegistry.handle<catalog::operator_records_relay>(
        cName, [this](const catalog::operator_records_relay &inRelay) {
            send({inRelay.instance, operator_records{inRelay.records, inRelay.from, inRelay.end}});
        });
    mRegistry.handle<catalog::endpoint_records_relay>(
        cName,
        [this](const catalog::endpoint_records_relay &inRelay) { relayRecords(inRelay.update); });
    mRegistry.handle<mesh_send>(cName, [this](const mesh_send &inSend) { send(inSend); });
    mRegistry.handle<heartbeat_part>(
        cName, [this](const heartbeat_part &inPart) { sendHeartbeats(inPart); });
}

mesh_service::~mesh_service() = default;

bool mesh_service::listen()
{
    if (!mListener.listen(mOptions.listen.host, mOptions.listen.port))
        return false;
    if (mOptions.self.address.empty())
        mOptions.self.address = http1::address{mOptions.listen.host, mListener.port()}.toString();
    return true;
}

void mesh_service::start()
{
    mTimer.startRepeating(cHeartbeatPeriod);
    tick();
}

void mesh_service::topicUpdated(const catalog::fleet_topic_updated &inUpdate)
{
    std::vector<std::string> listed;
    for (const store::record &record : inUpdate.update.records) {
        const auto name = memberName(record);
        if (!name)
            continue;
        if (!record.value) {
            removeMember(*name);
            continue;
        }
        listed.push_back(*name);
        const auto described = decodeMember(record);
        if (!described) {
            core::logEvent(core::log_level::warning, "instance_record_invalid",
                           {{"instance", *name}});
            continue;
        }
        if (*name == mOptions.self.instance)
            mSelfRecorded = *described == mOptions.self;
        else
            updateMember(*described, true);
    }
    if (inUpdate.update.complete) {
        if (std::ranges::find(listed, mOptions.self.instance) == listed.end())
            mSelfRecorded = false;
        std::vector<std::string> removed;
        for (const auto &[name, known] : mInstances) {
            if (known.recorded && std::ranges::find(listed, name) == listed.end())
                removed.push_back(name);
        }
        for (const std::string &name : removed)
            removeMember(name);
    }
    mTopicEnd = inUpdate.update.end;
    mTopicLoaded = true;
    recordSelf();
    publishInstances();
}

void mesh_service::recordSelf()
{
    if (mSelfRecorded || mAppendInFlight || !mTopicLoaded)
        return;
    mAppendInFlight = true;
    mRegistry.post("catalog",
                   catalog::fleet_topic_append{
                       std::string(cName), {memberRecord(mOptions.self)}, std::nullopt});
}

void mesh_service::updateMember(const member &inMember, bool inRecorded)
{
    known_instance &known = mInstances[inMember.instance];
    known.recorded = known.recorded || inRecorded;
    if (inMember.incarnation < known.description.incarnation)
        return;
    if (known.description != inMember) {
        known.description = inMember;
        known.link = {};
    }
}

void mesh_service::removeMember(const std::string &inInstance)
{
    core::logEvent(core::log_level::info, "instance_record_removed", {{"peer", inInstance}});
    const auto found = mInstances.find(inInstance);
    if (found != mInstances.end())
        found->second.recorded = false;
    if (inInstance == mOptions.self.instance)
        mSelfRecorded = false;
}

void mesh_service::dropSilentMembers(core::time_point inNow)
{
    std::erase_if(mInstances, [&](const auto &inEntry) {
        const known_instance &known = inEntry.second;
        return !known.recorded && !known.live && known.receivedAt
            && inNow - *known.receivedAt > cForgetTimeout;
    });
    if (!mTopicLoaded || mAppendInFlight)
        return;
    for (auto &[name, known] : mInstances) {
        if (!known.receivedAt)
            known.receivedAt = inNow;
        if (known.live || !known.recorded || inNow - *known.receivedAt < cRecordRemovalTime)
            continue;
        // Only the live instance whose name comes first removes records.
        const bool isFirst = std::ranges::none_of(mInstances, [&](const auto &inOther) {
            return inOther.second.live && inOther.first < mOptions.self.instance;
        });
        if (!isFirst)
            return;
        mAppendInFlight = true;
        mRegistry.post(
            "catalog",
            catalog::fleet_topic_append{std::string(cName), {removedMember(name)}, std::nullopt});
        return;
    }
}

void mesh_service::accepted(std::unique_ptr<peer::connection> inConnection)
{
    const std::uint64_t link = mNextIncoming++;
    inConnection->setEvents(
        {.onFrame = [this, link](std::string_view inBody) { frameReceived(link, inBody); },
         .onClosed = [this, link](std::string_view) { mIncoming.erase(link); }});
    mIncoming.emplace(link, incoming{.connection = std::move(inConnection)});
}

void mesh_service::frameReceived(std::uint64_t inLink, std::string_view inBody)
{
    const auto found = mIncoming.find(inLink);
    if (found == mIncoming.end())
        return;
    incoming &link = found->second;
    const auto decoded = decode(inBody, core::boot_clock::now());
    if (!decoded) {
        core::logEvent(core::log_level::warning, "peer_frame_invalid", {{"peer", link.instance}});
        mIncoming.erase(found);
        return;
    }
    if (const auto *received = std::get_if<hello>(&*decoded)) {
        helloReceived(link, *received);
        return;
    }
    const auto known = mInstances.find(link.instance);
    // Messages of a replaced incarnation are ignored.
    if (known == mInstances.end() || known->second.description.incarnation != link.incarnation)
        return;
    if (const auto *beat = std::get_if<heartbeat>(&*decoded))
        heartbeatReceived(link.instance, *beat);
    if (const auto *relayed = std::get_if<endpoint_records>(&*decoded)) {
        mRegistry.broadcast(catalog::endpoint_records_received{
            {.records = relayed->records, .from = relayed->from, .end = relayed->end}});
        return;
    }
    if (const auto *wanted = std::get_if<operator_records_wanted>(&*decoded)) {
        mRegistry.post("catalog", catalog::operator_records_requested{link.instance, wanted->from});
        return;
    }
    if (const auto *relayed = std::get_if<operator_records>(&*decoded)) {
        mRegistry.broadcast(
            catalog::operator_records_received{relayed->records, relayed->from, relayed->end});
        return;
    }
    mRegistry.broadcast(mesh_received{link.instance, link.incarnation, *decoded});
}

void mesh_service::helloReceived(incoming &ioLink, const hello &inHello)
{
    ioLink.instance = inHello.instance;
    ioLink.incarnation = inHello.incarnation;
    if (inHello.instance == mOptions.self.instance)
        return;
    updateMember({inHello.instance, inHello.machine, inHello.address, inHello.failureDomain,
                  inHello.incarnation},
                 false);
    publishInstances();
}

void mesh_service::heartbeatReceived(const std::string &inInstance, const heartbeat &inHeartbeat)
{
    const core::time_point now = core::boot_clock::now();
    known_instance &known = mInstances.at(inInstance);
    known.receivedAt = now;
    if (inHeartbeat.receiverLive)
        known.reportedLiveAt = now;
    if (!known.live) {
        known.live = true;
        core::logEvent(core::log_level::info, "peer_regained",
                       {{"peer", inInstance}, {"incarnation", known.description.incarnation}});
        publishInstances();
    }
    if (inHeartbeat.operatorEnd > mOperatorEnd)
        mRegistry.post("catalog",
                       catalog::operator_end_reported{inInstance, inHeartbeat.operatorEnd});
}

void mesh_service::openLink(outgoing &ioLink, const std::string &inAddress,
                            const std::string &inName)
{
    const auto target = http1::address::sParse(inAddress);
    if (!target)
        return;
    const core::time_point now = core::boot_clock::now();
    ioLink.openedAt = now;
    ioLink.connection
        = std::make_unique<peer::connection>(mRegistry.loop(), target->host, target->port);
    ioLink.connection->setEvents(
        {.onFrame = {}, .onClosed = [this, inName](std::string_view) { linkClosed(inName); }});
    const member &self = mOptions.self;
    ioLink.connection->send(encode(hello{self.instance, self.machine, self.address,
                                         self.failureDomain, self.incarnation, mOperatorEnd},
                                   now));
}

void mesh_service::linkClosed(const std::string &inName)
{
    const auto known = mInstances.find(inName);
    const auto seed = mSeedLinks.find(inName);
    outgoing *link = nullptr;
    if (known != mInstances.end())
        link = &known->second.link;
    else if (seed != mSeedLinks.end())
        link = &seed->second;
    if (link == nullptr)
        return;
    link->connection.reset();
    link->retryPause = std::clamp(link->retryPause * 2, cMinRetryPause, cMaxRetryPause);
    link->retryAt = core::boot_clock::now() + link->retryPause;
}

void mesh_service::maintainLinks(core::time_point inNow)
{
    for (auto &[name, known] : mInstances) {
        if (known.link.connection && inNow - known.link.openedAt > cLiveReportTimeout
            && inNow - known.reportedLiveAt > cLiveReportTimeout)
            known.link.connection.reset();
        if (!known.link.connection && inNow >= known.link.retryAt)
            openLink(known.link, known.description.address, name);
        if (known.live && inNow - *known.receivedAt > cLiveTimeout) {
            known.live = false;
            mMetrics.count("peers_lost_total");
            core::logEvent(core::log_level::warning, "peer_lost", {{"peer", name}});
        }
    }
    // Seeds are needed only while no other instance is known.
    if (!mInstances.empty()) {
        mSeedLinks.clear();
        return;
    }
    for (const std::string &seed : mOptions.seeds) {
        if (seed == mOptions.self.address)
            continue;
        outgoing &link = mSeedLinks[seed];
        if (!link.connection && inNow >= link.retryAt)
            openLink(link, seed, seed);
    }
}

void mesh_service::tick()
{
    const core::time_point now = core::boot_clock::now();
    maintainLinks(now);
    recordSelf();
    dropSilentMembers(now);
    publishInstances();
    mRegistry.broadcast(heartbeat_due{});
}

void mesh_service::sendHeartbeats(const heartbeat_part &inPart)
{
    heartbeat beat{.operatorEnd = mOperatorEnd,
                   .draining = mDraining,
                   .accountUses = inPart.accountUses,
                   .loads = inPart.loads,
                   .adapterUses = inPart.adapterUses,
                   .adaptersRunning = inPart.adaptersRunning,
                   .pauses = inPart.pauses};
    const core::time_point now = core::boot_clock::now();
    const std::string toSilent = encode(beat, now);
    beat.receiverLive = true;
    const std::string toLive = encode(beat, now);
    for (auto &[name, known] : mInstances) {
        sendTo(known, known.live ? toLive : toSilent);
    }
}

void mesh_service::sendTo(known_instance &ioTarget, std::string_view inBody)
{
    if (!ioTarget.link.connection || ioTarget.link.connection->send(inBody))
        return;
    mMetrics.count("peer_messages_dropped_total");
    core::logEvent(core::log_level::warning, "peer_message_dropped",
                   {{"peer", ioTarget.description.instance},
                    {"bytes", inBody.size()},
                    {"backlog", ioTarget.link.connection->backlogBytes()}});
}

void mesh_service::send(const mesh_send &inSend)
{
    const std::string bytes = encode(inSend.body, core::boot_clock::now());
    for (auto &[name, known] : mInstances) {
        if (inSend.instance.empty() || inSend.instance == name)
            sendTo(known, bytes);
    }
}

/// Relays endpoint records to the other live instances of this failure domain.
void mesh_service::relayRecords(const store::topic_update &inUpdate)
{
    const std::string bytes = encode(
        endpoint_records{inUpdate.records, inUpdate.from, inUpdate.end}, core::boot_clock::now());
    for (auto &[name, known] : mInstances) {
        if (known.live && known.description.failureDomain == mOptions.self.failureDomain)
            sendTo(known, bytes);
    }
}

/// Determines whether this instance reads the endpoint records and relays them. In each failure
/// domain this is the live instance whose name comes first.
void mesh_service::updateReader()
{
    const bool isReader = std::ranges::none_of(mInstances, [this](const auto &inEntry) {
        return inEntry.second.live && inEntry.first < mOptions.self.instance
            && inEntry.second.description.failureDomain == mOptions.self.failureDomain;
    });
    if (mIsReader == isReader)
        return;
    mIsReader = isReader;
    core::logEvent(core::log_level::info, "endpoint_reader", {{"reads", isReader}});
    mRegistry.broadcast(catalog::endpoint_reader_changed{isReader});
}

void mesh_service::publishInstances()
{
    updateReader();
    instances_changed current;
    for (const auto &[name, known] : mInstances) {
        current.members.push_back(name);
        if (known.recorded || known.live)
            current.recorded.push_back(name);
        if (known.live)
            current.live.emplace(name, known.description.failureDomain);
    }
    if (mPublished == current)
        return;
    mPublished = current;
    mMetrics.setGauge("peers_live", static_cast<double>(current.live.size()));
    mRegistry.broadcast(current);
}

} // namespace corneltally::fleet
