#include "corneltally/entry/admission_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <cmath>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

/// Name of the weight store's limit in loan messages; no account name starts with a slash.
constexpr std::string_view cWeightStoreLimit = "/weight_store";
/// Time after which a load without a reported end is assumed to have ended; a slow load takes
/// seconds.
constexpr core::duration cMaxLoadTime = 60s;
/// Delay before the retry of a load that would exceed the loads in flight. A load takes about 250
/// ms, so that one of several in flight has ended by then.
constexpr core::duration cLoadRetryDelay = 100ms;

int wholeSeconds(core::duration inDelay)
{
    const double seconds = std::ceil(std::chrono::duration<double>(inDelay).count());
    return static_cast<int>(std::clamp(seconds, 1.0, 3600.0));
}

template <typename Load>
std::string loadKey(const Load &inLoad)
{
    return inLoad.endpoint + '\n' + inLoad.adapter + '\n' + inLoad.version;
}

} // namespace

admission_service::admission_service(kernel::service_registry &inRegistry, std::string inInstance,
                                     std::uint64_t inIncarnation, bool inIgnoreShares)
    : mRegistry(inRegistry)
    , mInstance(std::move(inInstance))
    , mIncarnation(inIncarnation)
    , mIgnoreShares(inIgnoreShares)
    , mStartedAt(core::boot_clock::now())
    , mWakeTimer(inRegistry.loop(), [this] { pollDue(); })
{
    mRegistry.handle<admission_request>(
        name(), [this](const admission_request &inRequest) { receiveAdmissionRequest(inRequest); });
    mRegistry.handle<admission_cancel>(
        name(), [this](const admission_cancel &inCancel) { receiveCancel(inCancel); });
    mRegistry.handle<charge_settle>(
        name(), [this](const charge_settle &inSettle) { receiveSettle(inSettle); });
    mRegistry.handle<settings_changed>(
        name(), [this](const settings_changed &inChange) { applySettings(inChange); });
    mRegistry.handle<peers_changed>(
        name(), [this](const peers_changed &inChange) { applyPeers(inChange); });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) { applyPause(); });
    mRegistry.handle<peer_received<loan_request>>(
        name(), [this](const auto &inRequest) { receiveLoanRequest(inRequest); });
    mRegistry.handle<peer_received<loan_grant>>(
        name(), [this](const auto &inGrant) { receiveLoanGrant(inGrant); });
    mRegistry.handle<weight_load_request>(name(), [this](const weight_load_request &inRequest) {
        receiveWeightLoadRequest(inRequest);
    });
    mRegistry.handle<weight_load_done>(
        name(), [this](const weight_load_done &inDone) { receiveWeightLoadDone(inDone); });
}

void admission_service::receiveAdmissionRequest(const admission_request &inRequest)
{
    const auto found = mLimits.find(inRequest.account);
    if (found == mLimits.end()) {
        refuse(inRequest.requestId,
               {core::error_kind::unavailable,
                "the client account " + inRequest.account + " has no limits yet",
                "send the request again"},
               1);
        return;
    }
    const core::time_point now = core::boot_clock::now();
    mWaitingAccounts.insert_or_assign(inRequest.requestId, inRequest.account);
    found->second.limiter->submit(inRequest.requestId, std::max(0.0, inRequest.tokens),
                                  inRequest.deadline, now);
    poll(found, now);
}

void admission_service::receiveCancel(const admission_cancel &inCancel)
{
    const core::time_point now = core::boot_clock::now();
    const auto waiting = mWaitingAccounts.find(inCancel.requestId);
    if (waiting == mWaitingAccounts.end()) {
        // The request was decided already. If it was admitted, its whole charge is refunded, since
        // it is not started after its cancellation.
        for (auto item = mLimits.begin(); item != mLimits.end(); ++item)
            item->second.limiter->cancel(inCancel.requestId, now);
        return;
    }
    const auto found = mLimits.find(waiting->second);
    mWaitingAccounts.erase(waiting);
    refuse(inCancel.requestId, {core::error_kind::timeout, "the request was cancelled", ""}, 0);
    if (found == mLimits.end())
        return;
    found->second.limiter->cancel(inCancel.requestId, now);
    poll(found, now);
}

void admission_service::receiveSettle(const charge_settle &inSettle)
{
    const auto found = mLimits.find(inSettle.account);
    if (found == mLimits.end())
        return;
    const core::time_point now = core::boot_clock::now();
    found->second.limiter->settle(inSettle.requestId, inSettle.used, now);
    if (found->second.limiter->waiting() > 0)
        poll(found, now);
}

void admission_service::applySettings(const settings_changed &inChange)
{
    const settings::settings_index &settingsIndex = *inChange.settingsIndex;
    const core::time_point now = core::boot_clock::now();
    const auto instances = static_cast<double>(settingsIndex.instances().size());
    const bool isListed = settingsIndex.findInstance(mInstance) != nullptr;
    const double share = mIgnoreShares ? 1.0 : 1.0 / instances;
    const double fraction = isListed ? share : 0.0;
    std::set<std::string, std::less<>> names{std::string(cWeightStoreLimit)};
    for (const auto &[account, view] : settingsIndex.accounts()) {
        names.insert(account);
        setLimit(account, view.rateTokensPerSecond, view.burstTokens, fraction, now);
    }
    // The burst is one load per instance, since a share below one load could never be used.
    setLimit(std::string(cWeightStoreLimit), settingsIndex.weightLoadsPerSecond(), instances,
             fraction, now);
    mMaxLoadsInFlight = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::floor(settingsIndex.weightLoadsInFlight() * fraction)));
    removeLimits(names, now);
    mHasSettings = true;
    for (auto item = mLimits.begin(); item != mLimits.end(); ++item)
        poll(item, now);
}

void admission_service::setLimit(const std::string &inName, double inRate, double inBurst,
                                 double inFraction, core::time_point inNow)
{
    const auto found = mLimits.find(inName);
    if (found != mLimits.end()) {
        found->second.limiter->setLimits(inRate, inBurst, inNow);
        found->second.limiter->setFraction(inFraction, inNow);
        return;
    }
    // Limits of the first settings count from the start of the process: an earlier process of this
    // instance may have lent tokens before then, but not after.
    limit added;
    added.limiter = std::make_unique<limits::shared_limiter>(
        inRate, inBurst, inFraction, mHasSettings ? inNow : mStartedAt, mIncarnation);
    added.limiter->setPeers(mPeers);
    mLimits.emplace(inName, std::move(added));
}

void admission_service::removeLimits(const std::set<std::string, std::less<>> &inNames,
                                     core::time_point inNow)
{
    for (auto item = mLimits.begin(); item != mLimits.end();) {
        const auto current = item++;
        if (inNames.contains(current->first))
            continue;
        std::vector<std::string> waiting;
        for (const auto &[request, account] : mWaitingAccounts) {
            if (account == current->first)
                waiting.push_back(request);
        }
        for (const std::string &request : waiting) {
            mWaitingAccounts.erase(request);
            current->second.limiter->cancel(request, inNow);
            refuse(request,
                   {core::error_kind::forbidden, "the client account was removed",
                    "ask the operator for a key of an existing account"},
                   0);
        }
        scheduleWake(current, std::nullopt);
        mLimits.erase(current);
    }
}

void admission_service::applyPeers(const peers_changed &inChange)
{
    mPeers.clear();
    // Draining instances come first: they accept no new requests, so that they have most to lend.
    for (const auto *names : {&inChange.draining, &inChange.live}) {
        for (const std::string &peer : *names) {
            if (peer != mInstance)
                mPeers.push_back(peer);
        }
    }
    for (auto &[account, entry] : mLimits)
        entry.limiter->setPeers(mPeers);
}

void admission_service::applyPause()
{
    const core::time_point now = core::boot_clock::now();
    for (auto item = mLimits.begin(); item != mLimits.end(); ++item) {
        item->second.limiter->paused(now);
        poll(item, now);
    }
}

void admission_service::receiveLoanRequest(const peer_received<loan_request> &inRequest)
{
    const loan_request &request = inRequest.message;
    const auto found = mLimits.find(request.account);
    if (found == mLimits.end())
        return;
    const limits::fleet_share::loan loan = found->second.limiter->lend(
        inRequest.instance, request.loanId, request.rate, request.tokens, core::boot_clock::now());
    // An empty grant is sent too, so that the borrower asks the next peer at once.
    mRegistry.post("peers",
                   peer_send{inRequest.instance,
                             loan_grant{.account = request.account,
                                        .loanId = request.loanId,
                                        .rate = loan.rate,
                                        .burst = loan.burst,
                                        .tokens = loan.tokens,
                                        .validFor = loan.validFor}});
}

void admission_service::receiveLoanGrant(const peer_received<loan_grant> &inGrant)
{
    const loan_grant &grant = inGrant.message;
    const auto found = mLimits.find(grant.account);
    if (found == mLimits.end())
        return;
    const core::time_point now = core::boot_clock::now();
    found->second.limiter->loanReceived(inGrant.instance, grant.loanId,
                                        {.rate = grant.rate,
                                         .burst = grant.burst,
                                         .tokens = grant.tokens,
                                         .validFor = grant.validFor},
                                        now);
    poll(found, now);
}

void admission_service::receiveWeightLoadRequest(const weight_load_request &inRequest)
{
    const core::time_point now = core::boot_clock::now();
    std::erase_if(mLoadsInFlight, [&](const auto &inItem) { return inItem.second <= now; });
    const std::string key = loadKey(inRequest);
    const auto found = mLimits.find(cWeightStoreLimit);
    if (found == mLimits.end()
        || mLoadsInFlight.size() + mWaitingLoads.size() >= mMaxLoadsInFlight) {
        mRegistry.post("owner",
                       weight_load_result{.endpoint = inRequest.endpoint,
                                          .adapter = inRequest.adapter,
                                          .version = inRequest.version,
                                          .retryAfter = cLoadRetryDelay});
        return;
    }
    if (!mWaitingLoads.emplace(key, inRequest).second)
        return;
    found->second.limiter->submit(key, 1, now + limits::shared_limiter::cMaxWait, now);
    poll(found, now);
}

void admission_service::receiveWeightLoadDone(const weight_load_done &inDone)
{
    mLoadsInFlight.erase(loadKey(inDone));
}

void admission_service::poll(limit_map::iterator inLimit, core::time_point inNow)
{
    limit &entry = inLimit->second;
    limits::shared_limiter::actions actions = entry.limiter->poll(inNow);
    for (const limits::shared_limiter::decision &decision : actions.decisions) {
        const bool isAdmitted = decision.outcome == limits::limiter_outcome::admitted;
        (isAdmitted ? entry.admitted : entry.refused) += 1;
        if (inLimit->first == cWeightStoreLimit)
            postLoadDecision(decision);
        else
            postDecision(inLimit->first, decision);
    }
    if (actions.loanRequest)
        mRegistry.post("peers",
                       peer_send{actions.loanRequest->lender,
                                 loan_request{.account = inLimit->first,
                                              .loanId = actions.loanRequest->loanId,
                                              .rate = actions.loanRequest->rate,
                                              .tokens = actions.loanRequest->tokens}});
    scheduleWake(inLimit, actions.wakeAt);
}

void admission_service::pollDue()
{
    const core::time_point now = core::boot_clock::now();
    while (!mWakes.empty() && mWakes.begin()->first <= now) {
        const auto found = mLimits.find(mWakes.begin()->second);
        found->second.wakeAt.reset();
        mWakes.erase(mWakes.begin());
        poll(found, now);
    }
    if (!mWakes.empty())
        mWakeTimer.startOnce(mWakes.begin()->first - now);
}

void admission_service::scheduleWake(limit_map::iterator inLimit,
                                     std::optional<core::time_point> inWakeAt)
{
    limit &entry = inLimit->second;
    if (entry.wakeAt)
        mWakes.erase({*entry.wakeAt, inLimit->first});
    entry.wakeAt = inWakeAt;
    if (!inWakeAt)
        return;
    // Timers have a resolution of 1 ms at best; an earlier wake would only cause an extra poll.
    entry.wakeAt = std::max(*inWakeAt, core::boot_clock::now() + 1ms);
    mWakes.emplace(*entry.wakeAt, inLimit->first);
    mWakeTimer.startOnce(mWakes.begin()->first - core::boot_clock::now());
}

void admission_service::postDecision(const std::string &inName,
                                     const limits::shared_limiter::decision &inDecision)
{
    mWaitingAccounts.erase(inDecision.requestId);
    switch (inDecision.outcome) {
    case limits::limiter_outcome::admitted:
        mRegistry.post("front_end", admission_result{.requestId = inDecision.requestId});
        break;
    case limits::limiter_outcome::refused:
        refuse(inDecision.requestId,
               {core::error_kind::rate_limited,
                "the client account " + inName + " is over its token rate",
                "send the request again after the time in Retry-After"},
               wholeSeconds(inDecision.retryAfter));
        break;
    case limits::limiter_outcome::too_large:
        refuse(inDecision.requestId,
               {core::error_kind::invalid_request,
                "the request needs more tokens than the burst of the client account " + inName,
                "shorten the prompt or lower max_tokens, or ask the operator for a greater burst"},
               0);
        break;
    }
}

void admission_service::postLoadDecision(const limits::shared_limiter::decision &inDecision)
{
    const auto found = mWaitingLoads.find(inDecision.requestId);
    if (found == mWaitingLoads.end())
        return;
    const bool isGranted = inDecision.outcome == limits::limiter_outcome::admitted;
    mRegistry.post("owner",
                   weight_load_result{.endpoint = found->second.endpoint,
                                      .adapter = found->second.adapter,
                                      .version = found->second.version,
                                      .granted = isGranted,
                                      .retryAfter = isGranted ? 0us : inDecision.retryAfter});
    if (isGranted) {
        const core::time_point now = core::boot_clock::now();
        mLoadsInFlight.insert_or_assign(found->first, now + cMaxLoadTime);
        // A load uses its whole token; nothing is refunded later.
        mLimits.find(cWeightStoreLimit)->second.limiter->settle(found->first, 1, now);
    }
    mWaitingLoads.erase(found);
}

void admission_service::refuse(const std::string &inRequestId, core::error inError,
                               int inRetryAfterSeconds)
{
    mRegistry.post("front_end",
                   admission_result{.requestId = inRequestId,
                                    .error = std::move(inError),
                                    .retryAfterSeconds = inRetryAfterSeconds});
}

std::string admission_service::dump() const
{
    const core::time_point now = core::boot_clock::now();
    std::string text = "{\"limits\":{";
    for (const auto &[account, entry] : mLimits) {
        limits::fleet_share &share = entry.limiter->share();
        if (text.back() != '{')
            text += ",";
        text
            += "\"" + core::jsonEscape(account) + "\":{\"rate\":" + std::to_string(share.rate(now));
        text += ",\"burst\":" + std::to_string(share.burst(now));
        text += ",\"available\":" + std::to_string(share.available(now));
        text += ",\"lent_rate\":" + std::to_string(share.lentRate());
        text += ",\"borrowed_rate\":" + std::to_string(share.borrowedRate());
        text += ",\"demand\":" + std::to_string(entry.limiter->demand(now));
        text += ",\"waiting\":" + std::to_string(entry.limiter->waiting());
        text += ",\"open_charges\":" + std::to_string(share.openCharges());
        text += ",\"admitted\":" + std::to_string(entry.admitted);
        text += ",\"refused\":" + std::to_string(entry.refused) + "}";
    }
    text += "},\"peers\":" + std::to_string(mPeers.size());
    text += ",\"loads_in_flight\":" + std::to_string(mLoadsInFlight.size());
    text += ",\"max_loads_in_flight\":" + std::to_string(mMaxLoadsInFlight) + "}";
    return text;
}

} // namespace corneltally::entry
