#include "corneltally/fleet/mesh_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/fleet_codec.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/peer/connection.h"

#include <algorithm>
#include <set>
#include <utility>

namespace corneltally::fleet {

namespace {

/// Heartbeats carry loads and rate totals; the period limits how outdated these can be.
constexpr core::duration cHeartbeatPeriod = std::chrono::milliseconds(200);
/// An instance from which no heartbeat is received for this long, five periods, is not live.
constexpr core::duration cLiveTimeout = std::chrono::milliseconds(1000);
/// The same for an instance that no summary of its failure domain lists; summaries are a period
/// older than the heartbeats in them.
constexpr core::duration cListedTimeout = std::chrono::milliseconds(1200);
/// An unused connection to an instance of another failure domain is closed after this time.
constexpr core::duration cIdleLinkTimeout = std::chrono::seconds(5);
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
    , mLinks(mOptions.self.failureDomain, mOptions.self.instance, core::boot_clock::now())
    , mSummary(mOptions.self)
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
    mRegistry.handle<catalog::operator_progress_changed>(
        cName, [this](const catalog::operator_progress_changed &inChanged) {
            mOperatorProgress = inChanged.progress;
        });
    mRegistry.handle<catalog::operator_records_request>(
        cName, [this](const catalog::operator_records_request &inRequest) {
            send({inRequest.instance, operator_records_wanted{inRequest.from}});
        });
    mRegistry.handle<catalog::operator_records_relay>(
        cName, [this](const catalog::operator_records_relay &inRelay) {
            send({inRelay.instance, operator_records{inRelay.records, inRelay.from, inRelay.end}});
        });
    mRegistry.handle<catalog::endpoint_records_relay>(
        cName, [this](const catalog::endpoint_records_relay &inRelay) {
            const store::topic_update &update = inRelay.update;
            sendToLocalPeers(encode(endpoint_records{update.records, update.from, update.end},
                                    core::boot_clock::now()),
                             audience::all_releases);
        });
    mRegistry.handle<catalog::operator_records_read>(
        cName, [this](const catalog::operator_records_read &inRead) {
            const core::time_point now = core::boot_clock::now();
            if (inRead.records)
                sendToLocalPeers(
                    encode(operator_records{*inRead.records, inRead.from, inRead.end}, now),
                    audience::all_releases);
            else
                sendToLocalPeers(encode(operator_end{inRead.end}, now), audience::current_release);
        });
    mRegistry.handle<catalog::fleet_records_relay>(
        cName, [this](const catalog::fleet_records_relay &inRelay) { relayFleetRecords(inRelay); });
    mRegistry.handle<catalog::store_failing_changed>(
        cName, [this](const catalog::store_failing_changed &inChanged) {
            mStoreFailing = inChanged.failing;
        });
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
    mSummary.setSelf(mOptions.self);
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
    if (inRecorded && !known.recorded) {
        known.recorded = true;
        mInstancesChanged = true;
    }
    if (inMember.incarnation < known.description.incarnation)
        return;
    if (known.description != inMember) {
        known.description = inMember;
        known.link = {};
        // The instance may have started with another release.
        known.protocol = 0;
        mInstancesChanged = true;
    }
}

void mesh_service::removeMember(const std::string &inInstance)
{
    core::logEvent(core::log_level::info, "instance_record_removed", {{"peer", inInstance}});
    const auto found = mInstances.find(inInstance);
    if (found != mInstances.end())
        found->second.recorded = false;
    mInstancesChanged = true;
    if (inInstance == mOptions.self.instance)
        mSelfRecorded = false;
}

void mesh_service::dropSilentMembers(core::time_point inNow)
{
    const std::size_t forgotten = std::erase_if(mInstances, [&](const auto &inEntry) {
        const known_instance &known = inEntry.second;
        return !known.recorded && !known.live && known.receivedAt
            && inNow - *known.receivedAt > cForgetTimeout;
    });
    mInstancesChanged = mInstancesChanged || forgotten > 0;
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
    auto decoded = decode(inBody, core::boot_clock::now());
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
    if (auto *summary = std::get_if<domain_summary>(&*decoded)) {
        summaryReceived(link.instance, std::move(*summary), inBody);
        return;
    }
    if (const auto *beat = std::get_if<heartbeat>(&*decoded))
        heartbeatReceived(link.instance, *beat);
    if (const auto *state = std::get_if<engine_state>(&*decoded)) {
        if (isLocal(known->second) && !known->second.sendsToAll)
            mSummary.engineStateReceived(link.instance, *state);
    }
    if (const auto *reached = std::get_if<operator_end>(&*decoded)) {
        mRegistry.post("catalog", catalog::operator_records_skipped{reached->end});
        return;
    }
    if (const auto *relayed = std::get_if<fleet_records>(&*decoded)) {
        // Echoes of an earlier process say nothing about the age of the records on this clock.
        if (relayed->incarnation == mOptions.self.incarnation)
            mRegistry.post("catalog",
                           catalog::fleet_records_received{{.records = relayed->records,
                                                            .complete = relayed->complete,
                                                            .asOf = relayed->echo,
                                                            .from = relayed->from,
                                                            .end = relayed->end}});
        return;
    }
    if (const auto *relayed = std::get_if<endpoint_records>(&*decoded)) {
        mRegistry.broadcast(catalog::endpoint_records_received{{.records = relayed->records,
                                                                .asOf = core::boot_clock::now(),
                                                                .from = relayed->from,
                                                                .end = relayed->end}});
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
    const bool isNew = !mInstances.contains(inHello.instance);
    updateMember({inHello.instance, inHello.machine, inHello.address, inHello.failureDomain,
                  inHello.incarnation},
                 false);
    known_instance &known = mInstances.at(inHello.instance);
    known.sendsToAll = inHello.protocol == 0;
    known.protocol = inHello.protocol;
    mInstancesChanged = true;
    // The answer lets an instance that knows only its seeds find this one.
    if (isNew && !known.link.connection)
        openLink(known.link, known.description.address, inHello.instance);
    publishInstances();
}

bool mesh_service::isLocal(const known_instance &inKnown) const
{
    return inKnown.description.failureDomain == mOptions.self.failureDomain;
}

/// Whether this instance exchanges heartbeats with another one, in place of summaries of its
/// domain.
bool mesh_service::exchangesHeartbeats(const known_instance &inKnown) const
{
    return inKnown.sendsToAll || isLocal(inKnown);
}

void mesh_service::setLive(const std::string &inInstance, known_instance &ioKnown,
                           core::time_point inNow)
{
    ioKnown.receivedAt = inNow;
    if (ioKnown.live)
        return;
    ioKnown.live = true;
    mInstancesChanged = true;
    core::logEvent(core::log_level::info, "peer_regained",
                   {{"peer", inInstance}, {"incarnation", ioKnown.description.incarnation}});
}

/// Whether a summary is more recent than the last one of its sender: the same summary may arrive
/// through several instances.
bool mesh_service::isNewSummary(const domain_summary &inSummary)
{
    const std::pair<std::uint64_t, std::uint64_t> number(inSummary.incarnation, inSummary.sequence);
    const auto [known, isNew] = mLastSummaries.try_emplace(inSummary.sender, number);
    if (!isNew && number <= known->second)
        return false;
    known->second = number;
    return true;
}

/// Applies a summary of another failure domain. One that comes from there directly is relayed to
/// the instances of the own domain.
void mesh_service::summaryReceived(const std::string &inFrom, domain_summary inSummary,
                                   std::string_view inBody)
{
    if (inSummary.domain == mOptions.self.failureDomain || !isNewSummary(inSummary))
        return;
    const core::time_point now = core::boot_clock::now();
    if (!isLocal(mInstances.at(inFrom)))
        sendToLocalPeers(inBody, audience::current_release);
    std::set<std::string> listed;
    for (const summarized_instance &entry : inSummary.instances) {
        if (entry.instance == mOptions.self.instance)
            continue;
        updateMember(
            {entry.instance, entry.machine, entry.address, inSummary.domain, entry.incarnation},
            false);
        known_instance &known = mInstances.at(entry.instance);
        // An outdated summary lists an earlier incarnation of a restarted instance.
        if (known.description.incarnation != entry.incarnation || known.sendsToAll)
            continue;
        known.protocol = std::max(known.protocol, entry.protocol);
        setLive(entry.instance, known, now);
        listed.insert(entry.instance);
    }
    mLinks.summaryReceived({inSummary.domain, inSummary.sender,
                            isLocal(mInstances.at(inFrom)) ? inFrom : mOptions.self.instance},
                           std::move(listed), inSummary.heardDomains, now);
    mMetrics.count("domain_summaries_received_total");
    publishInstances();
    if (inSummary.operatorProgress.isAheadOf(mOperatorProgress))
        mRegistry.post(
            "catalog",
            catalog::operator_progress_reported{inSummary.sender, inSummary.operatorProgress});
    mRegistry.broadcast(
        domain_summary_received{std::make_shared<const domain_summary>(std::move(inSummary))});
}

void mesh_service::heartbeatReceived(const std::string &inInstance, const heartbeat &inHeartbeat)
{
    const core::time_point now = core::boot_clock::now();
    known_instance &known = mInstances.at(inInstance);
    known.storeFailing = inHeartbeat.storeFailing;
    if (inHeartbeat.receiverLive)
        known.reportedLiveAt = now;
    const bool wasLive = known.live;
    setLive(inInstance, known, now);
    if (!wasLive)
        publishInstances();
    // Instances that send to all are not summarized.
    if (isLocal(known) && !known.sendsToAll) {
        mSummary.heartbeatReceived(known.description, inHeartbeat, now, known.protocol);
        if (mReader && mReader->reads)
            mRegistry.post("catalog",
                           catalog::local_peer_heard{inInstance, known.description.incarnation,
                                                     inHeartbeat.sentAt});
    }
    if (inHeartbeat.operatorProgress.isAheadOf(mOperatorProgress))
        mRegistry.post(
            "catalog",
            catalog::operator_progress_reported{inInstance, inHeartbeat.operatorProgress});
}

void mesh_service::openLink(outgoing &ioLink, const std::string &inAddress,
                            const std::string &inName)
{
    const auto target = http1::address::sParse(inAddress);
    if (!target)
        return;
    const core::time_point now = core::boot_clock::now();
    ioLink.openedAt = now;
    ioLink.usedAt = now;
    ioLink.connection
        = std::make_unique<peer::connection>(mRegistry.loop(), target->host, target->port);
    ioLink.connection->setEvents(
        {.onFrame = {}, .onClosed = [this, inName](std::string_view) { linkClosed(inName); }});
    const member &self = mOptions.self;
    ioLink.connection->send(
        encode(hello{self.instance, self.machine, self.address, self.failureDomain,
                     self.incarnation, mOperatorProgress, cProtocol},
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
        const bool exchanges = exchangesHeartbeats(known);
        if (exchanges && known.link.connection && inNow - known.link.openedAt > cLiveReportTimeout
            && inNow - known.reportedLiveAt > cLiveReportTimeout)
            known.link.connection.reset();
        if (exchanges && !known.link.connection && inNow >= known.link.retryAt)
            openLink(known.link, known.description.address, name);
        if (!exchanges && known.link.connection && inNow - known.link.usedAt > cIdleLinkTimeout)
            known.link.connection.reset();
        if (known.live && inNow - *known.receivedAt > (exchanges ? cLiveTimeout : cListedTimeout)) {
            known.live = false;
            mInstancesChanged = true;
            mSummary.instanceLost(name);
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
    heartbeat beat{.operatorProgress = mOperatorProgress,
                   .draining = mDraining,
                   .accountUses = inPart.accountUses,
                   .loads = inPart.loads,
                   .adapterUses = inPart.adapterUses,
                   .adaptersRunning = inPart.adaptersRunning,
                   .pauses = inPart.pauses,
                   .quarantine = inPart.quarantine,
                   .leaving = inPart.leaving,
                   .cold = inPart.cold,
                   .intervals = inPart.intervals};
    const core::time_point now = core::boot_clock::now();
    beat.sentAt = now;
    beat.storeFailing = mStoreFailing;
    mSummary.heartbeatReceived(mOptions.self, beat, now);
    const std::string toSilent = encode(beat, now);
    beat.receiverLive = true;
    const std::string toLive = encode(beat, now);
    for (auto &[name, known] : mInstances) {
        if (exchangesHeartbeats(known))
            sendTo(known, known.live ? toLive : toSilent);
    }
    sendSummaries(now);
}

void mesh_service::sendSummaries(core::time_point inNow)
{
    const std::vector<std::string> targets = mLinks.targets(inNow);
    if (!targets.empty()) {
        const std::string body
            = encode(mSummary.build(mOperatorProgress, mLinks.heardDomains(inNow), inNow), inNow);
        for (const std::string &target : targets) {
            const auto found = mInstances.find(target);
            if (found == mInstances.end())
                continue;
            known_instance &known = found->second;
            // An established connection may be dead while new ones work.
            if (known.link.connection && inNow - known.link.openedAt > cLiveReportTimeout
                && mLinks.isFailing(known.description.failureDomain, inNow))
                known.link.connection.reset();
            sendTo(known, body);
            mMetrics.count("domain_summaries_sent_total");
            mMetrics.count("domain_summary_bytes_sent_total", body.size());
        }
    }
    mSummary.endPeriod();
}

void mesh_service::sendTo(known_instance &ioTarget, std::string_view inBody)
{
    const core::time_point now = core::boot_clock::now();
    if (!ioTarget.link.connection && now >= ioTarget.link.retryAt)
        openLink(ioTarget.link, ioTarget.description.address, ioTarget.description.instance);
    ioTarget.link.usedAt = now;
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
    if (const auto *state = std::get_if<engine_state>(&inSend.body))
        mSummary.engineStateReceived(mOptions.self.instance, *state);
    // A release before permits closes a connection on which it receives a message about them.
    const bool isPermit = std::holds_alternative<permit_wanted>(inSend.body)
        || std::holds_alternative<permit_reply>(inSend.body);
    for (auto &[name, known] : mInstances) {
        if (isPermit && known.protocol < cPermitProtocol)
            continue;
        if (inSend.instance.empty() ? exchangesHeartbeats(known) : inSend.instance == name)
            sendTo(known, bytes);
    }
}

/// Sends a message to the other live instances of this failure domain. The former release closes
/// a connection on which it receives a message that it does not know.
void mesh_service::sendToLocalPeers(std::string_view inBody, audience inAudience)
{
    for (auto &[name, known] : mInstances) {
        if (known.live && isLocal(known)
            && (inAudience == audience::all_releases || !known.sendsToAll))
            sendTo(known, inBody);
    }
}

void mesh_service::relayFleetRecords(const catalog::fleet_records_relay &inRelay)
{
    const store::topic_update &update = inRelay.update;
    fleet_records relayed{.records = update.records,
                          .from = update.complete ? store::position() : update.from,
                          .end = update.end,
                          .complete = update.complete};
    for (const catalog::local_peer_heard &heard : inRelay.echoes) {
        const auto found = mInstances.find(heard.instance);
        if (found == mInstances.end() || !found->second.live)
            continue;
        relayed.echo = heard.sentAt;
        relayed.incarnation = heard.incarnation;
        sendTo(found->second, encode(relayed, core::boot_clock::now()));
    }
}

/// Determines whether this instance reads the store's topics and relays them. In each failure
/// domain this is the live instance whose name comes first, of those whose reads do not fail.
void mesh_service::updateReader()
{
    catalog::reader_changed reader{.reads = true};
    for (const auto &[name, known] : mInstances) {
        if (!known.live || !isLocal(known))
            continue;
        reader.hasLocalPeers = true;
        if (std::pair(known.storeFailing, name) < std::pair(mStoreFailing, mOptions.self.instance))
            reader.reads = false;
    }
    if (mReader == reader)
        return;
    mReader = reader;
    core::logEvent(core::log_level::info, "store_reader",
                   {{"reads", reader.reads}, {"has_local_peers", reader.hasLocalPeers}});
    mRegistry.broadcast(reader);
}

/// Tells the other services of the instances if any of them changed since the last call.
void mesh_service::publishInstances()
{
    updateReader();
    if (!std::exchange(mInstancesChanged, false))
        return;
    instances_changed current;
    for (const auto &[name, known] : mInstances) {
        const member &description = known.description;
        current.members.emplace(name, description.failureDomain);
        if ((known.recorded || known.live) && exchangesHeartbeats(known))
            current.claimants.push_back(name);
        if (known.live)
            current.live.push_back(
                {name, description.failureDomain, description.machine, description.incarnation});
    }
    if (mPublished == current)
        return;
    mPublished = current;
    mMetrics.setGauge("peers_live", static_cast<double>(current.live.size()));
    mLinks.setMembers(linkableInstances());
    std::set<std::string> localPeers;
    for (const auto &[name, known] : mInstances) {
        if (known.live && isLocal(known) && !known.sendsToAll)
            localPeers.insert(name);
    }
    mLinks.setLivePeers(std::move(localPeers));
    mRegistry.broadcast(current);
}

/// Failure domains of the instances that may receive summaries.
std::map<std::string, std::string> mesh_service::linkableInstances() const
{
    std::map<std::string, std::string> domains;
    for (const auto &[name, known] : mInstances) {
        if (!known.sendsToAll)
            domains.emplace(name, known.description.failureDomain);
    }
    return domains;
}

} // namespace corneltally::fleet
