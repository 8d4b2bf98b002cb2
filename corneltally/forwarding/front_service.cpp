#include "corneltally/forwarding/front_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/engines/endpoint_exchange.h"
#include "corneltally/forwarding/forwarded_request.h"
#include "corneltally/http1/client_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/orders/order_messages.h"
#include "corneltally/routing/routing_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

namespace corneltally::forwarding {

namespace {

constexpr core::duration cPrunePeriod = std::chrono::seconds(1);

} // namespace

front_service::front_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                             front_options inOptions)
    : mOptions(std::move(inOptions))
    , mContext{.loop = ioRegistry.loop(),
               .registry = ioRegistry,
               .metrics = ioMetrics,
               .instance = mOptions.instance,
               .failureDomain = mOptions.failureDomain,
               .settings = mOptions.settings,
               .table = nullptr,
               .endpoints = {},
               .pool = http1::connection_pool(ioRegistry.loop(), {}),
               .allowance = {},
               .retries = limits::fleet_retry_budget(mOptions.retries),
               .quarantine = quarantine::part_quarantine(mOptions.instance),
               .namedVersions = {},
               .adapterUses = {},
               .pauses = {},
               .permits = {},
               .stopAt = {},
               .regions = mOptions.regions,
               .sendsHeld = false,
               .overload
               = overload_control(mOptions.weighsOverload,
                                  {.promptTokensPerMs = mOptions.settings.choice.promptTokensPerMs
                                       / (1 + mOptions.settings.choice.stepOverhead)})}
    , mPruneTimer(ioRegistry.loop(), [this] { prune(); })
    , mListener(ioRegistry.loop(), [this](int inSocket) { accept(inSocket); })
    , mBodyBudget(std::make_shared<http1::body_budget>(mOptions.bodyBudgetBytes))
    , mFirstMessageTimer(ioRegistry.loop(), [this] { endFirstMessageWait(); })
    , mHoldTimer(ioRegistry.loop(), [this] { releaseSends(false); })
{
    ioRegistry.handle<catalog::configuration_changed>(
        cName, [this](const catalog::configuration_changed &inChanged) {
            configurationChanged(inChanged);
        });
    ioRegistry.handle<catalog::adapter_version_named>(
        cName, [this](const catalog::adapter_version_named &inNamed) {
            std::uint64_t &known
                = mContext.namedVersions[engines::adapterKey(inNamed.model, inNamed.adapter)];
            known = std::max(known, inNamed.version);
        });
    ioRegistry.handle<catalog::endpoint_changed>(
        cName, [this](const catalog::endpoint_changed &inChanged) {
            const engines::endpoint *known = mContext.endpoints.find(inChanged.entry.id);
            const bool wasLeaving = known != nullptr && known->condition.isLeaving();
            if (mContext.endpoints.apply(inChanged.entry, core::boot_clock::now())) {
                mContext.pool.closeIdleTo(inChanged.entry.address);
                if (wasLeaving)
                    core::logEvent(core::log_level::info, "endpoint_back",
                                   {{"endpoint", inChanged.entry.id},
                                    {"started_ms", inChanged.entry.startedMs}});
            }
            endpointChanged(inChanged.entry.id);
        });
    ioRegistry.handle<catalog::endpoint_removed>(
        cName, [this](const catalog::endpoint_removed &inRemoved) {
            mContext.endpoints.remove(inRemoved.id, inRemoved.mayReturn, core::boot_clock::now());
            endpointChanged(inRemoved.id);
        });
    ioRegistry.handle<catalog::endpoints_listed>(
        cName, [this](const catalog::endpoints_listed &inListed) {
            mContext.endpoints.keepOnly(inListed.ids, inListed.mayReturn, core::boot_clock::now());
            mEndpointsListed = true;
        });
    ioRegistry.handle<catalog::evacuation_changed>(
        cName,
        [this](const catalog::evacuation_changed &inChanged) { evacuationChanged(inChanged); });
    ioRegistry.handle<catalog::operator_records_confirmed>(
        cName, [this](const catalog::operator_records_confirmed &inConfirmed) {
            if (mContext.sendsHeld && inConfirmed.asOf >= mHeldSince)
                releaseSends(true);
        });
    ioRegistry.handle<engines::endpoint_noticed>(
        cName, [this](const engines::endpoint_noticed &inNoticed) { endpointNoticed(inNoticed); });
    ioRegistry.handle<orders::held_engine_changed>(
        cName, [this](const orders::held_engine_changed &inChanged) {
            engineStateReceived(mOptions.instance, inChanged.state);
        });
    ioRegistry.handle<engines::endpoint_exchange>(
        cName, [this](const engines::endpoint_exchange &inExchange) {
            const core::time_point now = core::boot_clock::now();
            if (inExchange.coldLeft)
                mContext.endpoints.applyColdAnswer(inExchange.endpoint, inExchange.startedMs,
                                                   *inExchange.coldLeft, inExchange.sentAt, now);
            else
                mContext.endpoints.expectColdAfterLoss(inExchange.endpoint, inExchange.startedMs,
                                                       now);
        });
    ioRegistry.handle<orders::local_permit_reply>(
        cName, [this](const orders::local_permit_reply &inLocal) {
            mContext.permits.replied(inLocal.reply);
        });
    ioRegistry.handle<fleet::mesh_received>(
        cName, [this](const fleet::mesh_received &inReceived) { meshReceived(inReceived); });
    ioRegistry.handle<fleet::domain_summary_received>(
        cName, [this](const fleet::domain_summary_received &inReceived) {
            summaryReceived(*inReceived.summary);
        });
    ioRegistry.handle<fleet::instances_changed>(
        cName, [this](const fleet::instances_changed &inChanged) {
            std::vector<std::string> peers;
            for (const auto &[name, domain] : inChanged.members)
                peers.push_back(name);
            mHasPeers = !peers.empty();
            mContext.allowance.setPeers(peers, core::boot_clock::now());
            mContext.retries.setInstanceCount(static_cast<int>(inChanged.members.size()) + 1);
            std::set<std::string> live{mOptions.instance};
            for (const fleet::live_candidate &instance : inChanged.live)
                live.insert(instance.name);
            mContext.endpoints.setLiveHolders(live);
            mContext.quarantine.setLive(std::move(live));
        });
    ioRegistry.handle<fleet::heartbeat_due>(
        cName, [this](const fleet::heartbeat_due &) { sendHeartbeatPart(); });
}

front_service::~front_service()
{
    for (auto &[id, entry] : mCallers)
        entry.request.reset();
}

void front_service::start()
{
    mPruneTimer.startRepeating(cPrunePeriod);
    mFirstMessageTimer.startOnce(mOptions.firstMessageTimeout);
}

bool front_service::ready() const
{
    return mContext.table != nullptr && mEndpointsListed && !mDraining;
}

std::size_t front_service::running() const
{
    return mRunning;
}

std::size_t front_service::unfinished() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        mCallers, [](const auto &inEntry) { return inEntry.second.connection->unfinished(); }));
}

std::size_t front_service::withInput() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        mCallers, [](const auto &inEntry) { return inEntry.second.connection->hasInput(); }));
}

void front_service::accept(int inSocket)
{
    const std::uint64_t id = mNextCaller++;
    const http1::caller_limits limits
        = mContext.table ? mContext.table->source().limits : http1::caller_limits{};
    auto connection = std::make_unique<http1::server_connection>(
        mContext.loop, inSocket, limits, mContext.settings.callerTcpTimeout);
    connection->setBodyBudget(mBodyBudget);
    connection->setEvents({.onRequest =
                               [this, id](http1::server_request inRequest) {
                                   requestArrived(id, std::move(inRequest));
                               },
                           .onDrained =
                               [this, id] {
                                   const auto found = mCallers.find(id);
                                   if (found != mCallers.end() && found->second.request)
                                       found->second.request->callerDrained();
                               },
                           .onClosed = [this, id] { callerClosed(id); }});
    if (mClosesIdle)
        connection->closeWhenIdle();
    mCallers.emplace(id, caller{std::move(connection), nullptr});
    mContext.metrics.setGauge("caller_connections", static_cast<double>(mCallers.size()));
}

void front_service::requestArrived(std::uint64_t inCaller, http1::server_request inRequest)
{
    caller &entry = mCallers.at(inCaller);
    if (mDraining)
        entry.connection->closeWhenIdle();
    destroyLater(std::move(entry.request), nullptr);
    entry.request
        = std::make_unique<forwarded_request>(mContext, *entry.connection, std::move(inRequest),
                                              [this, inCaller] { requestEnded(inCaller); });
    ++mRunning;
    entry.request->start(awaitsFirstMessage());
}

/// An instance that has just started does not know yet which requests end the endpoints that run
/// them, nor what the others admit.
bool front_service::awaitsFirstMessage() const
{
    return mHasPeers && !mFirstMessageWaitEnded;
}

/// Admits the requests that wait. Called on the first message, at the end of the time for it, and
/// when the instance begins to drain.
void front_service::endFirstMessageWait()
{
    if (mFirstMessageWaitEnded)
        return;
    mFirstMessageWaitEnded = true;
    mFirstMessageTimer.cancel();
    for (forwarded_request *request : requests())
        request->admitHeld();
}

void front_service::requestEnded(std::uint64_t inCaller)
{
    --mRunning;
    const auto found = mCallers.find(inCaller);
    // The request may be executing one of its member functions.
    if (found != mCallers.end())
        destroyLater(std::move(found->second.request), nullptr);
}

void front_service::callerClosed(std::uint64_t inCaller)
{
    const auto found = mCallers.find(inCaller);
    if (found == mCallers.end())
        return;
    caller entry = std::move(found->second);
    mCallers.erase(found);
    const http1::connection_end end = entry.connection->end();
    mContext.metrics.count("caller_connections_closed_total{end=\"" + std::string(toString(end))
                           + "\"}");
    if (entry.connection->discardedBytes() > 0)
        core::logEvent(core::log_level::warning, "caller_unanswered",
                       {{"end", toString(end)},
                        {"draining", mDraining},
                        {"discarded_bytes", entry.connection->discardedBytes()}});
    if (entry.request) {
        entry.request->callerLeft();
    }
    destroyLater(std::move(entry.request), std::move(entry.connection));
}

void front_service::destroyLater(std::unique_ptr<forwarded_request> inRequest,
                                 std::unique_ptr<http1::server_connection> inConnection)
{
    if (!inRequest && !inConnection)
        return;
    mContext.loop.post(
        [request = std::shared_ptr<forwarded_request>(std::move(inRequest)),
         connection = std::shared_ptr<http1::server_connection>(std::move(inConnection))] {});
}

void front_service::configurationChanged(const catalog::configuration_changed &inChanged)
{
    const core::time_point now = core::boot_clock::now();
    mContext.table = inChanged.table;
    std::vector<std::string> names;
    for (const routing::client_account &account : inChanged.table->source().accounts) {
        names.push_back(account.name);
        mContext.allowance.configure(account.name, account.ratePerSecond, account.burst, now);
    }
    mContext.allowance.retainAccounts(names);
    std::map<std::string, core::duration, std::less<>> coldTimes;
    for (const routing::service &service : inChanged.table->source().services) {
        if (mContext.settings.limitsCold && service.coldPerSecond > 0)
            coldTimes.emplace(service.name, service.coldTime);
    }
    mContext.endpoints.setColdTimes(std::move(coldTimes));
    for (auto &[id, entry] : mCallers)
        entry.connection->setLimits(inChanged.table->source().limits);
    updateUnservedRestrictions();
}

void front_service::setRegions(routing::domain_regions inRegions)
{
    mContext.regions = std::move(inRegions);
    updateUnservedRestrictions();
}

/// Logs which routes and accounts can't be served since no failure domain is in their regions.
void front_service::updateUnservedRestrictions()
{
    if (!mContext.table)
        return;
    for (const auto &changed : mUnservedRestrictions.update(
             mContext.table->source(), mContext.regions, core::boot_clock::now()))
        core::logEvent(changed.unserved ? core::log_level::warning : core::log_level::info,
                       changed.unserved ? "region_restriction_unserved"
                                        : "region_restriction_served",
                       {{"of", changed.subject},
                        {"regions", changed.regions},
                        {"configuration", mContext.table->version()},
                        {"seconds", std::chrono::duration<double>(changed.lasted).count()}});
}

void front_service::endpointChanged(const std::string &inEndpoint)
{
    // endpointChanged() may modify mCallers, so the requests are collected first.
    std::vector<forwarded_request *> waiting;
    for (auto &[id, entry] : mCallers) {
        if (entry.request && entry.request->isWaitingFor(inEndpoint))
            waiting.push_back(entry.request.get());
    }
    for (forwarded_request *request : waiting)
        request->endpointChanged(inEndpoint);
}

/// A notice was read in an answer, here or by the order service.
void front_service::endpointNoticed(const engines::endpoint_noticed &inNoticed)
{
    const core::time_point now = core::boot_clock::now();
    mContext.endpoints.applyNotice(inNoticed.endpoint, inNoticed.startedMs, inNoticed.notice, now);
    const engines::endpoint *target = mContext.endpoints.find(inNoticed.endpoint);
    if (target == nullptr || target->entry.startedMs != inNoticed.startedMs)
        return;
    const core::duration pause
        = std::max(core::duration::zero(), target->condition.pausedUntil() - now);
    core::logEvent(core::log_level::info, "endpoint_notice",
                   {{"endpoint", inNoticed.endpoint},
                    {"started_ms", inNoticed.startedMs},
                    {"leaving", target->condition.isLeaving()},
                    {"pause_ms", pause.count() / 1000},
                    {"requests", target->own.requests},
                    {"source", "answer"}});
    mContext.metrics.count(inNoticed.notice.leaving ? "endpoint_notices_total{kind=\"leaving\"}"
                                                    : "endpoint_notices_total{kind=\"pause\"}");
    if (inNoticed.notice.leaving)
        mContext.pool.closeIdleTo(target->entry.address);
    endpointChanged(inNoticed.endpoint);
}

void front_service::peerSaysLeaving(const std::string &inInstance,
                                    const std::set<std::uint64_t> &inStarts)
{
    for (const std::string &id :
         mContext.endpoints.applyPeerLeaving(inStarts, core::boot_clock::now())) {
        const engines::endpoint_entry &entry = mContext.endpoints.find(id)->entry;
        core::logEvent(core::log_level::info, "endpoint_notice",
                       {{"endpoint", id},
                        {"started_ms", entry.startedMs},
                        {"leaving", true},
                        {"source", inInstance}});
        mContext.pool.closeIdleTo(entry.address);
        endpointChanged(id);
    }
}

void front_service::prune()
{
    const core::time_point now = core::boot_clock::now();
    mContext.pool.prune();
    mContext.endpoints.prune(now);
    mContext.metrics.setGauge("request_body_bytes", static_cast<double>(mBodyBudget->used()));
    mContext.metrics.setGauge("request_bodies_refused",
                              static_cast<double>(mBodyBudget->refused()));
    for (const auto &[id, length] : mContext.endpoints.takeEndedPauses(now))
        core::logEvent(core::log_level::info, "endpoint_pause_ended",
                       {{"endpoint", id}, {"pause_ms", length.count() / 1000}});
}

/// Logs which endpoints became cold or warm since the last call.
void front_service::reportCold()
{
    const core::time_point now = core::boot_clock::now();
    const auto inMs = [](core::duration inDuration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(inDuration).count();
    };
    for (const engines::cold_change &change : mContext.endpoints.takeColdChanges(now)) {
        mColdEndpoints += change.cold ? 1 : -1;
        core::logEvent(core::log_level::info, change.cold ? "endpoint_cold" : "endpoint_warm",
                       {{"endpoint", change.endpoint},
                        {"source", toString(change.source)},
                        {"age_ms", inMs(change.age)},
                        {"cold_ms", inMs(change.remaining)}});
        if (change.cold)
            mContext.metrics.count("endpoints_cold_total{source=\""
                                   + std::string(toString(change.source)) + "\"}");
        mContext.metrics.setGauge("cold_endpoints", mColdEndpoints);
    }
}

void front_service::engineStateReceived(const std::string &inHolder,
                                        const fleet::engine_state &inState)
{
    mContext.endpoints.applyHolderReport(inState.endpoint, inState.startedMs, inHolder,
                                         inState.ready, inState.adapters, inState.models,
                                         inState.queued, core::boot_clock::now());
    endpointChanged(inState.endpoint);
}

void front_service::meshReceived(const fleet::mesh_received &inReceived)
{
    const core::time_point now = core::boot_clock::now();
    if (const auto *state = std::get_if<fleet::engine_state>(&inReceived.body)) {
        engineStateReceived(inReceived.instance, *state);
    } else if (const auto *beat = std::get_if<fleet::heartbeat>(&inReceived.body)) {
        mContext.endpoints.applyPeerLoads(
            inReceived.instance, beat->loads,
            {beat->adaptersRunning.begin(), beat->adaptersRunning.end()}, now);
        for (const fleet::answer_pause &seen : beat->pauses)
            mContext.endpoints.recordPause(seen.endpoint, seen.pause);
        for (const fleet::answer_interval &seen : beat->intervals)
            mContext.endpoints.recordInterval(seen.endpoint, seen.interval, now);
        mContext.allowance.applyPeerTotals(inReceived.instance, inReceived.incarnation,
                                           beat->accountUses, true, now);
        quarantineReported(beat->quarantine);
        peerSaysLeaving(inReceived.instance, beat->leaving);
        mContext.endpoints.applyPeerCold(beat->cold, now);
        endFirstMessageWait();
    } else if (const auto *reply = std::get_if<fleet::permit_reply>(&inReceived.body)) {
        mContext.permits.replied(*reply);
    }
}

void front_service::summaryReceived(const fleet::domain_summary &inSummary)
{
    const core::time_point now = core::boot_clock::now();
    mContext.endpoints.applyPeerLoads(
        "domain/" + inSummary.domain, inSummary.loads,
        {inSummary.adaptersRunning.begin(), inSummary.adaptersRunning.end()}, now);
    for (const fleet::answer_pause &seen : inSummary.pauses)
        mContext.endpoints.recordPause(seen.endpoint, seen.pause);
    for (const fleet::answer_interval &seen : inSummary.intervals)
        mContext.endpoints.recordInterval(seen.endpoint, seen.interval, now);
    for (const fleet::summarized_instance &instance : inSummary.instances) {
        if (instance.instance != mOptions.instance)
            mContext.allowance.applyPeerTotals(instance.instance, instance.incarnation,
                                               instance.accountUses, inSummary.hasAllTotals, now);
    }
    for (const fleet::summarized_engine &engine : inSummary.engines)
        engineStateReceived(engine.holder, engine.state);
    quarantineReported(inSummary.quarantine);
    mContext.endpoints.applyPeerCold(inSummary.cold, now);
    endFirstMessageWait();
}

void front_service::quarantineReported(const quarantine::quarantine_state &inState)
{
    if (inState == quarantine::quarantine_state())
        return;
    mContext.quarantine.applyPeer(inState, core::boot_clock::now());
    updateQuarantine();
}

/// Logs changes of the quarantine and ends the requests that they concern.
void front_service::updateQuarantine()
{
    using quarantine::part_change;
    const std::vector<part_change> changes = mContext.quarantine.update(core::boot_clock::now());
    if (changes.empty())
        return;
    const auto inMs = [](core::duration inDuration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(inDuration).count();
    };
    for (const part_change &change : changes) {
        std::array<char, 17> digest{};
        std::snprintf(digest.data(), digest.size(), "%016llx",
                      static_cast<unsigned long long>(change.part));
        core::logEvent(core::log_level::warning, "part_quarantine",
                       {{"change", toString(change.what)},
                        {"part", change.id},
                        {"digest", digest.data()},
                        {"round", change.round},
                        {"endpoints_lost", change.losses},
                        {"evidence_age_ms", inMs(change.evidenceAge)},
                        {"hold_ms", inMs(change.hold)}});
        mContext.metrics.count("part_quarantine_changes_total{change=\""
                               + std::string(toString(change.what)) + "\"}");
    }
    mContext.metrics.setGauge("quarantined_parts",
                              static_cast<double>(mContext.quarantine.quarantined()));
    // partsQuarantined() may modify mCallers, so the requests are collected first.
    std::vector<forwarded_request *> running;
    for (auto &[id, entry] : mCallers) {
        if (entry.request)
            running.push_back(entry.request.get());
    }
    for (forwarded_request *request : running)
        request->partsQuarantined();
}

void front_service::sendHeartbeatPart()
{
    fleet::heartbeat_part part{.accountUses = mContext.allowance.ownUses()};
    for (const auto &[id, target] : mContext.endpoints.all()) {
        if (target.condition.isLeaving() && !target.removed)
            part.leaving.insert(target.startDigest);
        if (target.own.requests > 0)
            part.loads[target.digest] = target.own;
        for (const auto &[adapter, count] : target.ownRunning)
            part.adaptersRunning.push_back(engines::digestOf(id, adapter));
    }
    part.adapterUses = std::exchange(mContext.adapterUses, {});
    part.pauses = std::exchange(mContext.pauses, {});
    part.cold = mContext.endpoints.ownColdReports(core::boot_clock::now());
    reportCold();
    part.intervals = std::exchange(mContext.intervals, {});
    updateQuarantine();
    part.quarantine = mContext.quarantine.report();
    mContext.registry.post("orders",
                           orders::local_adapter_uses{part.adapterUses, part.adaptersRunning});
    mContext.registry.post("mesh", std::move(part));
}

void front_service::beginDrain(core::time_point inEnd)
{
    mDraining = true;
    mContext.stopAt = inEnd;
    endFirstMessageWait();
}

void front_service::endRequests()
{
    // endForStop() may modify mCallers, so the requests are collected first.
    std::vector<forwarded_request *> running;
    for (auto &[id, entry] : mCallers) {
        if (entry.request)
            running.push_back(entry.request.get());
    }
    for (forwarded_request *request : running)
        request->endForStop();
}

void front_service::closeIdle()
{
    core::logEvent(core::log_level::info, "drain_closes_idle",
                   {{"connections", mCallers.size()},
                    {"unfinished", unfinished()},
                    {"with_input", withInput()}});
    mClosesIdle = true;
    for (auto &[id, entry] : mCallers)
        entry.connection->closeWhenIdle();
}

void front_service::paused()
{
    mContext.endpoints.forgetReports();
    mContext.allowance.resetAfterPause(core::boot_clock::now());
    if (mOptions.confirmsEvacuations)
        holdSends();
}

std::string front_service::dump() const
{
    std::string text = "{\"callers\":" + std::to_string(mCallers.size())
        + ",\"running\":" + std::to_string(mRunning) + ",\"configuration\":"
        + std::to_string(mContext.table ? mContext.table->version() : 0) + ",\"endpoints\":[";
    bool first = true;
    for (const auto &[id, target] : mContext.endpoints.all()) {
        text.append(first ? "" : ",").append("{\"id\":\"").append(core::jsonEscape(id));
        text.append("\",\"failure_domain\":\"")
            .append(core::jsonEscape(target.entry.failureDomain));
        text.append("\",\"holder\":\"").append(core::jsonEscape(target.holder));
        text.append("\",\"ready\":").append(target.holderReady ? "true" : "false");
        text.append(",\"leaving\":").append(target.entry.leaving ? "true" : "false");
        text.append(",\"evacuated\":")
            .append(mContext.endpoints.isEvacuated(target) ? "true" : "false");
        text.append(",\"cold\":")
            .append(mContext.endpoints.isCold(target, core::boot_clock::now()) ? "true" : "false");
        text.append(",\"removed\":").append(target.removed ? "true" : "false");
        text.append(",\"requests\":").append(std::to_string(target.own.requests));
        text.append(",\"resident\":").append(std::to_string(target.adapters.resident.size()));
        text.append("}");
        first = false;
    }
    return text.append("]}");
}

} // namespace corneltally::forwarding
