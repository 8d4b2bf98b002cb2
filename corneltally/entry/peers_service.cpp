#include "corneltally/entry/peers_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/peer/frame.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cTickPeriod = 50ms;
constexpr core::duration cHeartbeatPeriod = 250ms;
/// Minimum time between two attempts to connect to the same peer.
constexpr core::duration cDialPeriod = 500ms;
/// Maximum time after a start or a pause that an instance waits for its peers before it considers
/// them down. It covers the time until a peer counts as down and one more attempt to connect.
constexpr core::duration cViewHold = membership::peer_table::cDownAfter + 500ms;

std::string joinAsJson(const std::vector<std::string> &inNames)
{
    std::string text;
    for (const std::string &name : inNames)
        text.append(text.empty() ? "\"" : ",\"").append(core::jsonEscape(name)).append("\"");
    return text;
}

std::string joinWithSpaces(const std::vector<std::string> &inNames)
{
    std::string text;
    for (const std::string &name : inNames)
        text.append(text.empty() ? "" : " ").append(name);
    return text;
}

/// Makes the end of a run whose answer exceeds the frame size limit.
peer_message makeTooLongEnd(const run_event &inEvent)
{
    return run_event{inEvent.requestId,
                     run_end{.outcome = run_outcome::unknown,
                             .error = {core::error_kind::internal,
                                       "a part of the answer exceeds the frame size limit",
                                       "request a shorter answer or a stream"}}};
}

} // namespace

peers_service::peers_service(kernel::service_registry &inRegistry, peers_options inOptions)
    : mRegistry(inRegistry)
    , mOptions(std::move(inOptions))
    , mTable(mOptions.instance, mOptions.incarnation)
    , mListener(inRegistry.loop(),
                [this](std::unique_ptr<peer::connection> inConnection) {
                    addLink(std::move(inConnection), {});
                })
    , mTick(inRegistry.loop(), [this] { tick(); })
{
    mRegistry.handle<peer_send>(name(), [this](const peer_send &inSend) { send(inSend); });
    mRegistry.handle<settings_changed>(
        name(), [this](const settings_changed &inChange) { applySettings(inChange); });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) {
        // Messages missed during a pause of this process do not show that peers are down.
        mViewHoldUntil = core::boot_clock::now() + cViewHold;
    });
    mRegistry.handle<drain_started>(name(), [this](const drain_started &) {
        mTable.startDrain();
        const std::string notice = encodePeerFrame(peer_drain_notice{}, core::boot_clock::now());
        for (const auto &[instance, remote] : mRemotes)
            sendTo(instance, notice);
        publishView(core::boot_clock::now());
    });
}

peers_service::~peers_service() = default;

bool peers_service::listen()
{
    return mListener.listen(mOptions.listen.host, mOptions.listen.port);
}

void peers_service::start()
{
    // Until the first settings tree is loaded, only the addresses of the process settings are
    // known, and a peer may be the only source of the tree.
    std::vector<std::string> names{mOptions.instance};
    for (const auto &[instance, address] : mOptions.addresses) {
        names.push_back(instance);
        if (instance != mOptions.instance)
            mRemotes[instance].address = http::parseAddress(address);
    }
    mTable.setInstances(names);
    mTick.startRepeating(cTickPeriod);
}

void peers_service::applySettings(const settings_changed &inChange)
{
    mSettingsVersion = inChange.settingsIndex->version();
    std::vector<std::string> names;
    std::map<std::string, remote, std::less<>> remotes;
    for (const auto &[instance, view] : inChange.settingsIndex->instances()) {
        names.push_back(instance);
        if (instance == mOptions.instance)
            continue;
        const auto replaced = mOptions.addresses.find(instance);
        remote entry;
        if (const auto known = mRemotes.find(instance); known != mRemotes.end())
            entry = known->second;
        entry.address = http::parseAddress(replaced == mOptions.addresses.end() ? view.peerAddress
                                                                                : replaced->second);
        remotes.emplace(instance, entry);
    }
    mRemotes = std::move(remotes);
    mTable.setInstances(names);
    if (!mViewHoldUntil)
        mViewHoldUntil = core::boot_clock::now() + cViewHold;
}

void peers_service::tick()
{
    const core::time_point now = core::boot_clock::now();
    if (now - mLastHeartbeat >= cHeartbeatPeriod) {
        mLastHeartbeat = now;
        sendHeartbeats(now);
    }
    closeSilentLinks(now);
    dialPeers(now);
    for (const auto &[instance, remote] : mRemotes)
        chooseActive(instance, now);
    publishView(now);
}

void peers_service::sendHeartbeats(core::time_point inNow)
{
    for (const auto &[id, link] : mLinks) {
        if (!link.helloSent)
            continue;
        const auto known = mTable.entries().find(link.instance);
        const std::uint64_t receiver
            = known == mTable.entries().end() ? 0 : known->second.incarnation;
        link.connection->send(encodePeerFrame(
            peer_heartbeat{mOptions.incarnation, mSettingsVersion, mTable.isDraining(), receiver},
            inNow));
    }
}

void peers_service::closeSilentLinks(core::time_point inNow)
{
    std::vector<link_id> silent;
    for (const auto &[id, link] : mLinks) {
        const bool known = !link.dialed || mRemotes.contains(link.instance);
        if (!known || inNow - link.connection->lastReceived() >= membership::peer_table::cDownAfter)
            silent.push_back(id);
    }
    for (const link_id id : silent)
        closeLink(id, "no progress");
}

void peers_service::dialPeers(core::time_point inNow)
{
    for (auto &entry : mRemotes) {
        const std::string &instance = entry.first;
        remote &target = entry.second;
        // One connection that makes progress or is being opened is sufficient.
        const bool connected = std::ranges::any_of(mLinks, [&](const auto &inEntry) {
            const link &candidate = inEntry.second;
            return candidate.dialed && candidate.instance == instance
                && inNow - candidate.connection->lastReceived()
                < membership::peer_table::cSuspectAfter;
        });
        if (connected || target.address.port == 0
            || (target.lastDial && inNow - *target.lastDial < cDialPeriod))
            continue;
        target.lastDial = inNow;
        addLink(std::make_unique<peer::connection>(mRegistry.loop(), target.address.host,
                                                   target.address.port),
                instance);
    }
}

void peers_service::chooseActive(const std::string &inInstance, core::time_point inNow)
{
    remote &target = mRemotes.find(inInstance)->second;
    const auto healthy = [&](const link &inLink) {
        return inLink.helloSent && inLink.instance == inInstance && inLink.incarnation != 0
            && inNow - inLink.connection->lastReceived() < membership::peer_table::cSuspectAfter;
    };
    const auto current = mLinks.find(target.active);
    if (current != mLinks.end() && healthy(current->second))
        return;
    for (const auto &[id, candidate] : mLinks) {
        if (!healthy(candidate))
            continue;
        if (current != mLinks.end())
            reportLost(inInstance);
        target.active = id;
        mRegistry.broadcast(peer_connected{inInstance});
        return;
    }
}

void peers_service::publishView(core::time_point inNow)
{
    if (!mViewHoldUntil)
        return;
    const membership::peer_table::view view = mTable.viewAt(inNow);
    const bool complete = view.live.size() + view.draining.size() >= mRemotes.size() + 1;
    if (inNow < *mViewHoldUntil && !complete && !mTable.isDraining())
        return;
    peers_changed change{.live = view.live, .draining = view.draining};
    if (mPublished == change)
        return;
    core::logEvent(
        core::log_level::info, "peers_changed",
        {{"live", joinWithSpaces(change.live)}, {"draining", joinWithSpaces(change.draining)}});
    mPublished = change;
    mRegistry.broadcast(change);
}

void peers_service::addLink(std::unique_ptr<peer::connection> inConnection, std::string inInstance)
{
    const link_id id = mNextLink++;
    link &added = mLinks[id];
    added.connection = std::move(inConnection);
    added.dialed = !inInstance.empty();
    added.instance = std::move(inInstance);
    added.connection->setEvents(
        {.onFrame = [this, id](std::string_view inBody) { receiveFrame(id, inBody); },
         .onClosed = [this, id](std::string_view inReason) { closeLink(id, inReason); }});
    if (added.dialed) {
        added.connection->send(encodeHello(added.instance));
        added.helloSent = true;
    }
}

void peers_service::closeLink(link_id inLink, std::string_view inReason)
{
    const auto found = mLinks.find(inLink);
    if (found == mLinks.end())
        return;
    const link closed = std::move(found->second);
    mLinks.erase(found);
    if (closed.incarnation != 0) {
        core::logEvent(core::log_level::info, "peer_connection_closed",
                       {{"peer", closed.instance}, {"reason", inReason}});
    }
    const auto target = mRemotes.find(closed.instance);
    if (target == mRemotes.end() || target->second.active != inLink)
        return;
    target->second.active = 0;
    reportLost(closed.instance);
    chooseActive(closed.instance, core::boot_clock::now());
}

void peers_service::closeOlderLinks(const std::string &inInstance, std::uint64_t inIncarnation)
{
    std::vector<link_id> older;
    for (const auto &[id, link] : mLinks) {
        if (link.instance == inInstance && link.incarnation != 0
            && link.incarnation < inIncarnation)
            older.push_back(id);
    }
    for (const link_id id : older)
        closeLink(id, "the peer restarted");
}

void peers_service::receiveFrame(link_id inLink, std::string_view inBody)
{
    const core::time_point now = core::boot_clock::now();
    const core::result<wire_message> message = decodePeerFrame(inBody, now);
    if (!message) {
        core::logEvent(
            core::log_level::warning, "peer_frame_invalid",
            {{"peer", mLinks.at(inLink).instance}, {"reason", message.reason().message}});
        closeLink(inLink, "invalid frame");
        return;
    }
    if (const auto *hello = std::get_if<peer_hello>(&message.value())) {
        receiveHello(inLink, *hello);
        return;
    }
    const link &source = mLinks.at(inLink);
    if (source.refused)
        return;
    if (source.incarnation == 0) {
        closeLink(inLink, "received a message before the hello");
        return;
    }
    const std::string instance = source.instance;
    const membership::update_outcome outcome
        = mTable.recordProgress(instance, source.incarnation, now);
    if (outcome == membership::update_outcome::outdated
        || outcome == membership::update_outcome::ignored)
        return;
    if (const auto *heartbeat = std::get_if<peer_heartbeat>(&message.value())) {
        receiveHeartbeat(source, *heartbeat);
    } else if (std::holds_alternative<peer_drain_notice>(message.value())) {
        mTable.recordMessage(instance, source.incarnation, true, now);
        publishView(now);
    } else {
        receiveMessage(instance, std::get<peer_message>(message.value()));
    }
}

void peers_service::receiveHello(link_id inLink, const peer_hello &inHello)
{
    link &source = mLinks.at(inLink);
    checkSuperseded(inHello.receiverIncarnation);
    const core::time_point now = core::boot_clock::now();
    if (source.dialed && source.instance != inHello.instance) {
        core::logEvent(core::log_level::warning, "peer_address_wrong",
                       {{"expected", source.instance}, {"found", inHello.instance}});
        closeLink(inLink, "another instance answered at the peer's address");
        return;
    }
    const membership::update_outcome outcome
        = mTable.recordMessage(inHello.instance, inHello.incarnation, false, now);
    if (outcome == membership::update_outcome::superseded) {
        checkSuperseded(inHello.incarnation);
        return;
    }
    source.instance = inHello.instance;
    if (!source.helloSent) {
        // The hello also informs an outdated process of the incarnation that replaced it.
        source.connection->send(encodeHello(source.instance));
        source.helloSent = true;
    }
    if (outcome == membership::update_outcome::outdated) {
        source.refused = true;
        return;
    }
    if (outcome == membership::update_outcome::ignored) {
        // The peer connects again and is accepted once the settings tree names it.
        closeLink(inLink, "the settings tree does not name the peer");
        return;
    }
    source.incarnation = inHello.incarnation;
    if (outcome == membership::update_outcome::replaced)
        closeOlderLinks(inHello.instance, inHello.incarnation);
    if (mRemotes.contains(inHello.instance))
        chooseActive(inHello.instance, now);
    publishView(now);
}

void peers_service::receiveHeartbeat(const link &inLink, const peer_heartbeat &inHeartbeat)
{
    checkSuperseded(inHeartbeat.receiverIncarnation);
    const core::time_point now = core::boot_clock::now();
    mTable.recordMessage(inLink.instance, inLink.incarnation, inHeartbeat.draining, now);
    mRegistry.broadcast(peer_settings_version{inLink.instance, inHeartbeat.settingsVersion});
    publishView(now);
}

void peers_service::receiveMessage(const std::string &inInstance, const peer_message &inMessage)
{
    std::visit(
        [&]<typename Message>(const Message &inContent) {
            mRegistry.broadcast(peer_received<Message>{inInstance, inContent});
        },
        inMessage);
}

void peers_service::checkSuperseded(std::uint64_t inIncarnation)
{
    if (inIncarnation <= mOptions.incarnation || mSupersededReported)
        return;
    mSupersededReported = true;
    mRegistry.broadcast(instance_superseded{});
}

void peers_service::send(const peer_send &inSend)
{
    const std::string body = encodePeerFrame(inSend.message, core::boot_clock::now());
    if (inSend.instance.empty()) {
        for (const auto &[instance, remote] : mRemotes)
            sendTo(instance, body);
        return;
    }
    const bool concernsRun = std::holds_alternative<run_submit>(inSend.message)
        || std::holds_alternative<run_cancel>(inSend.message)
        || std::holds_alternative<run_event>(inSend.message);
    // Senders repeat all other messages.
    if (sendTo(inSend.instance, body) || !concernsRun)
        return;
    if (body.size() <= peer::cMaxFrameBytes)
        reportLost(inSend.instance);
    else if (const auto *event = std::get_if<run_event>(&inSend.message))
        sendTo(inSend.instance, encodePeerFrame(makeTooLongEnd(*event), core::boot_clock::now()));
}

bool peers_service::sendTo(const std::string &inInstance, std::string_view inBody)
{
    const auto target = mRemotes.find(inInstance);
    if (target == mRemotes.end() || target->second.active == 0)
        return false;
    const link_id active = target->second.active;
    if (mLinks.at(active).connection->send(inBody))
        return true;
    if (inBody.size() > peer::cMaxFrameBytes) {
        core::logEvent(core::log_level::error, "peer_frame_too_long",
                       {{"peer", inInstance}, {"bytes", inBody.size()}});
        return false;
    }
    closeLink(active, "the connection is closed or its send buffer is full");
    return false;
}

void peers_service::reportLost(const std::string &inInstance)
{
    mRegistry.broadcast(peer_lost{inInstance});
}

std::string peers_service::encodeHello(const std::string &inInstance) const
{
    const auto known = mTable.entries().find(inInstance);
    const std::uint64_t receiver = known == mTable.entries().end() ? 0 : known->second.incarnation;
    return encodePeerFrame(peer_hello{mOptions.instance, mOptions.incarnation, receiver},
                           core::boot_clock::now());
}

std::string peers_service::dump() const
{
    const core::time_point now = core::boot_clock::now();
    const membership::peer_table::view view = mTable.viewAt(now);
    std::string text = "{\"incarnation\":" + std::to_string(mOptions.incarnation);
    text.append(",\"live\":[").append(joinAsJson(view.live));
    text.append("],\"draining\":[").append(joinAsJson(view.draining)).append("],\"links\":[");
    bool first = true;
    for (const auto &[id, link] : mLinks) {
        const auto silent = now - link.connection->lastReceived();
        const auto target = mRemotes.find(link.instance);
        const bool active = target != mRemotes.end() && target->second.active == id;
        text.append(first ? "{" : ",{");
        text.append("\"peer\":\"").append(core::jsonEscape(link.instance));
        text.append("\",\"dialed\":").append(link.dialed ? "true" : "false");
        text.append(",\"active\":").append(active ? "true" : "false");
        text.append(",\"incarnation\":").append(std::to_string(link.incarnation));
        text.append(",\"silent_us\":").append(std::to_string(silent.count()));
        text.append(",\"backlog\":").append(std::to_string(link.connection->backlogBytes()));
        text.append("}");
        first = false;
    }
    return text.append("]}");
}

} // namespace corneltally::entry
