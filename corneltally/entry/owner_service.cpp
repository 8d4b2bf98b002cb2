#include "corneltally/entry/owner_service.h"

#include "corneltally/entry/drain_messages.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <utility>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cTickPeriod = 25ms;
/// Minimum time between two published statuses of an endpoint, which are sent on change.
constexpr core::duration cPublishPeriod = 100ms;

bool isIn(const std::vector<std::string> &inNames, const std::string &inName)
{
    return std::ranges::find(inNames, inName) != inNames.end();
}

} // namespace

owner_service::owner_service(kernel::service_registry &inRegistry, owner_options inOptions)
    : mRegistry(inRegistry)
    , mOptions(std::move(inOptions))
    , mLog(inRegistry.loop(), mOptions.platform)
    , mLeases(
          mLog, [] { return core::boot_clock::now(); },
          [this](const std::string &inEndpoint) -> ownership::lease * {
              const auto found = mOwned.find(inEndpoint);
              const bool needed = found != mOwned.end() && found->second.state->needsLease();
              return needed ? &found->second.state->lease() : nullptr;
          })
    , mTick(inRegistry.loop(), [this] { tick(); })
{
    handleMessages();
}

owner_service::~owner_service() = default;

void owner_service::handleMessages()
{
    mRegistry.handle<settings_changed>(
        name(), [this](const settings_changed &inChange) { applySettings(inChange); });
    mRegistry.handle<peers_changed>(
        name(), [this](const peers_changed &inChange) { applyPeers(inChange); });
    mRegistry.handle<peer_connected>(name(), [this](const peer_connected &inConnected) {
        publishStatusesTo(inConnected.instance);
    });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) {
        for (auto &[endpoint, entry] : mOwned)
            entry.state->resumeAfterPause();
    });
    mRegistry.handle<drain_started>(name(), [this](const drain_started &) { startDrain(); });
    mRegistry.handle<run_submit>(name(), [this](const run_submit &inSubmit) { submit(inSubmit); });
    mRegistry.handle<peer_received<run_submit>>(
        name(),
        [this](const peer_received<run_submit> &inReceived) { submit(inReceived.message); });
    mRegistry.handle<run_cancel>(name(), [this](const run_cancel &inCancel) { cancel(inCancel); });
    mRegistry.handle<peer_received<run_cancel>>(
        name(),
        [this](const peer_received<run_cancel> &inReceived) { cancel(inReceived.message); });
    mRegistry.handle<peer_received<endpoint_status>>(
        name(), [this](const peer_received<endpoint_status> &inReceived) {
            handlePeerStatus(inReceived.message);
        });
    mRegistry.handle<weight_load_result>(name(), [this](const weight_load_result &inResult) {
        const auto found = mOwned.find(inResult.endpoint);
        if (found != mOwned.end())
            found->second.state->loadAdmitted(inResult);
        else if (inResult.granted)
            mRegistry.post("admission",
                           weight_load_done{inResult.endpoint, inResult.adapter, inResult.version});
    });
}

void owner_service::start()
{
    mTick.startRepeating(cTickPeriod);
}

void owner_service::applySettings(const settings_changed &inChange)
{
    mSettingsIndex = inChange.settingsIndex;
    for (auto &[endpoint, entry] : mOwned) {
        const settings::endpoint_view *view = mSettingsIndex->findEndpoint(endpoint);
        entry.obsolete = view == nullptr || view->address != entry.address
            || view->kind != settings::endpoint_kind::model;
    }
    chooseEndpoints();
}

void owner_service::applyPeers(const peers_changed &inChange)
{
    const peers_changed before = std::exchange(mPeers, inChange);
    const auto isKnown = [](const peers_changed &inPeers, const std::string &inName) {
        return isIn(inPeers.live, inName) || isIn(inPeers.draining, inName);
    };
    for (const std::vector<std::string> *names : {&before.live, &before.draining}) {
        for (const std::string &instance : *names) {
            if (isKnown(mPeers, instance))
                continue;
            for (auto &[endpoint, entry] : mOwned)
                entry.state->dropOrigin(instance);
        }
    }
    chooseEndpoints();
    for (const std::string &instance : mPeers.live) {
        if (instance != mOptions.instance && !isKnown(before, instance))
            publishStatusesTo(instance);
    }
}

std::vector<ownership::owner_candidate> owner_service::candidates() const
{
    std::vector<ownership::owner_candidate> found;
    found.reserve(mPeers.live.size());
    for (const std::string &instance : mPeers.live) {
        if (const settings::instance_view *view = mSettingsIndex->findInstance(instance))
            found.push_back({instance, view->failureDomain});
    }
    return found;
}

void owner_service::chooseEndpoints()
{
    if (!mSettingsIndex)
        return;
    const std::vector<ownership::owner_candidate> live = candidates();
    for (const auto &[name, view] : mSettingsIndex->endpoints()) {
        const auto owner = ownership::chooseOwner(name, view.failureDomain, live);
        const bool assigned = !mDraining && view.kind == settings::endpoint_kind::model
            && owner == mOptions.instance;
        const auto found = mOwned.find(name);
        if (assigned && (found == mOwned.end() || !found->second.obsolete))
            assignEndpoint(view);
        else if (found != mOwned.end())
            found->second.state->setAssigned(false);
    }
    for (auto &[name, entry] : mOwned) {
        if (entry.obsolete)
            entry.state->setAssigned(false);
    }
}

void owner_service::assignEndpoint(const settings::endpoint_view &inView)
{
    owned_entry &entry = mOwned[inView.name];
    if (!entry.state) {
        entry.address = inView.address;
        entry.engine = std::make_unique<endpoint::engine_client>(
            mRegistry.loop(), http::parseAddress(inView.address));
        entry.state = std::make_unique<engine_endpoint>(
            *entry.engine, inView,
            owned_endpoint_options{.instance = mOptions.instance,
                                   .incarnation = mOptions.incarnation,
                                   .firstLeaseSequence = ++mCreatedCount << 32U,
                                   .ignoreUnknownUse = mOptions.ignoreUnknownUse},
            makeHooks(inView.name));
        const auto known = mKnownFences.find(inView.name);
        if (known != mKnownFences.end())
            entry.state->observeFence(known->second);
    }
    const auto self = mSettingsIndex->instances().find(mOptions.instance);
    const auto slot = std::distance(mSettingsIndex->instances().begin(), self);
    entry.state->configure(inView,
                           static_cast<std::size_t>(std::max(1, mSettingsIndex->maxQueue())),
                           mSettingsIndex->patientMaxWait(), static_cast<std::uint64_t>(slot));
    entry.state->setAssigned(true);
}

owned_endpoint_hooks owner_service::makeHooks(const std::string &inEndpoint)
{
    return {.now = [] { return core::boot_clock::now(); },
            .sendEvent = [this](const std::string &inOrigin,
                                run_event inEvent) { sendEvent(inOrigin, std::move(inEvent)); },
            .accountWeight =
                [this](const std::string &inAccount) {
                    const settings::account_view *account = mSettingsIndex->findAccount(inAccount);
                    return account == nullptr ? 1.0 : account->weight;
                },
            .admitLoad =
                [this, inEndpoint](const std::string &inAdapter, const std::string &inVersion) {
                    admitLoad(inEndpoint, inAdapter, inVersion);
                },
            .loadDone =
                [this, inEndpoint](const std::string &inAdapter, const std::string &inVersion) {
                    mRegistry.post("admission", weight_load_done{inEndpoint, inAdapter, inVersion});
                }};
}

void owner_service::admitLoad(const std::string &inEndpoint, const std::string &inAdapter,
                              const std::string &inVersion)
{
    if (mRegistry.post("admission", weight_load_request{inEndpoint, inAdapter, inVersion}))
        return;
    // Without an admission service, as in isolated tests of this service, loads are not limited.
    mRegistry.post(name(), weight_load_result{inEndpoint, inAdapter, inVersion, true, {}});
}

void owner_service::sendEvent(const std::string &inOrigin, run_event inEvent)
{
    if (inOrigin == mOptions.instance)
        mRegistry.post("dispatch", std::move(inEvent));
    else
        mRegistry.post("peers", peer_send{inOrigin, std::move(inEvent)});
}

void owner_service::submit(const run_submit &inSubmit)
{
    const auto found = mOwned.find(inSubmit.endpoint);
    if (found != mOwned.end()) {
        found->second.state->submit(inSubmit);
        return;
    }
    run_end end{.outcome = run_outcome::not_run,
                .error = {core::error_kind::unavailable, "this instance does not own the endpoint",
                          "repeat the request"},
                .retryAfterSeconds = 1};
    end.endpoint = inSubmit.endpoint;
    sendEvent(inSubmit.origin, {inSubmit.request.requestId, std::move(end)});
}

void owner_service::cancel(const run_cancel &inCancel)
{
    for (auto &[endpoint, entry] : mOwned)
        entry.state->cancel(inCancel.requestId, inCancel.origin);
}

void owner_service::handlePeerStatus(const endpoint_status &inStatus)
{
    std::uint64_t &known = mKnownFences[inStatus.endpoint];
    known = std::max(known, inStatus.fence);
    const auto found = mOwned.find(inStatus.endpoint);
    if (found != mOwned.end())
        found->second.state->observeFence(known);
}

void owner_service::startDrain()
{
    mDraining = true;
    for (auto &[endpoint, entry] : mOwned)
        mReturnedRuns += entry.state->startDrain();
    chooseEndpoints();
    reportDrained();
}

void owner_service::tick()
{
    const core::time_point now = core::boot_clock::now();
    std::vector<std::string> leased;
    for (auto &[endpoint, entry] : mOwned) {
        if (entry.state->needsLease())
            leased.push_back(endpoint);
    }
    mLeases.tick(leased);
    for (auto &[endpoint, entry] : mOwned) {
        entry.state->tick();
        publish(entry, now);
    }
    removeUnused();
    if (mDraining)
        reportDrained();
}

void owner_service::publish(owned_entry &ioEntry, core::time_point inNow)
{
    std::optional<endpoint_status> status = ioEntry.state->status();
    if (!status && ioEntry.published && ioEntry.published->accepting) {
        status = ioEntry.published;
        status->accepting = false;
    }
    if (!status || status == ioEntry.published || inNow - ioEntry.publishedAt < cPublishPeriod)
        return;
    ioEntry.published = status;
    ioEntry.publishedAt = inNow;
    mRegistry.post("dispatch", *status);
    mRegistry.post("peers", peer_send{"", *status});
}

void owner_service::publishStatusesTo(const std::string &inInstance)
{
    for (const auto &[endpoint, entry] : mOwned) {
        if (entry.published && entry.state->status())
            mRegistry.post("peers", peer_send{inInstance, *entry.published});
    }
}

void owner_service::removeUnused()
{
    bool replaced = false;
    for (auto entry = mOwned.begin(); entry != mOwned.end();) {
        owned_entry &current = entry->second;
        const bool done = !current.state->isAssigned() && !current.state->hasRuns()
            && !current.state->status() && !(current.published && current.published->accepting);
        replaced = replaced || (done && current.obsolete);
        entry = done ? mOwned.erase(entry) : std::next(entry);
    }
    // An endpoint whose address changed gets a new entry.
    if (replaced)
        chooseEndpoints();
}

void owner_service::reportDrained()
{
    const bool running = std::ranges::any_of(
        mOwned, [](const auto &inEntry) { return inEntry.second.state->hasRuns(); });
    if (running || std::exchange(mDrainReported, true))
        return;
    mRegistry.post("drain", endpoints_drained{mReturnedRuns});
}

std::string owner_service::dump() const
{
    std::string text = std::string("{\"draining\":") + (mDraining ? "true" : "false");
    text.append(",\"leases_read_to\":").append(std::to_string(mLeases.table().nextOffset()));
    text.append(",\"endpoints\":[");
    bool first = true;
    for (const auto &[endpoint, entry] : mOwned)
        text.append(std::exchange(first, false) ? "" : ",").append(entry.state->dump());
    return text.append("]}");
}

} // namespace corneltally::entry
