#include "corneltally/scheduling/overload_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace corneltally::scheduling {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;
using rule = overload_decision::rule;

/// Weight of a new sample in the moving averages.
constexpr double cSmoothing = 0.05;
/// A kind without requests for this long does not decide whether there is an overload.
constexpr core::duration cKindRetention = std::chrono::seconds(5);
/// Time in which the weight of begun prompts falls to half.
constexpr core::duration cBegunHalfLife = std::chrono::seconds(1);
/// The longest limit of a kind decays with each request, so that a changed route is noticed.
constexpr double cLimitDecay = 0.999;
/// Bounds of the size groups relative to the average of the kind. With the spread of the prompts
/// that engines get (largest 55,000, average 9,190) the largest tenth and the fifth below it lie
/// above them.
constexpr double cLargestSize = 2;
constexpr double cLargeSize = 1.3;
/// Work beyond this many times the typical one does not lower the bound for late requests further.
constexpr double cMaxRelativeWork = 4;
/// Group of all requests.
const std::string cAll = "all";

double inMs(core::duration inDuration)
{
    return milliseconds(inDuration).count();
}

core::duration fromMs(double inMilliseconds)
{
    return std::chrono::duration_cast<core::duration>(milliseconds(inMilliseconds));
}

void smooth(double &ioAverage, double inSample)
{
    ioAverage = ioAverage <= 0 ? inSample : ioAverage + (inSample - ioAverage) * cSmoothing;
}

int clampPriority(int inPriority)
{
    return std::clamp(inPriority, 0, overload_policy::sUrgencies - 1);
}

/// Urgency of requests that can be in time: each priority has two levels, of which the second is
/// for late requests. The least important priorities share a level.
int inTimeUrgency(int inPriority)
{
    return std::min(2 * clampPriority(inPriority), overload_policy::sUrgencies - 2);
}

std::string accountGroup(const std::string &inAccount)
{
    return "account " + inAccount;
}

std::string kindGroup(const std::string &inKind)
{
    return "kind " + inKind;
}

} // namespace

std::string_view toString(overload_decision::rule inRule)
{
    switch (inRule) {
    case rule::none:
        return "none";
    case rule::in_time:
        return "in_time";
    case rule::late:
        return "late";
    case rule::floor:
        return "floor";
    case rule::no_time:
        return "no_time";
    case rule::shed_late:
        return "shed_late";
    case rule::shed_priority:
        break;
    }
    return "shed_priority";
}

overload_policy::overload_policy(overload_options inOptions)
    : mOptions(inOptions)
{ }

overload_decision overload_policy::decide(const overload_request &inRequest,
                                          const service_backlog &inBacklog, core::time_point inNow)
{
    const int priority = clampPriority(inRequest.priority);
    const double lenient = lenience(inBacklog);
    const double backlogMs = inBacklog.promptTokens / std::max(1, inBacklog.endpoints)
        / mOptions.promptTokensPerMs * lenient;
    observe(inRequest, inNow);
    updateOverloaded(backlogMs, inNow);
    overload_decision decision{.urgency = priority, .backlog = fromMs(backlogMs)};
    const double ahead = std::min(inMs(inRequest.backlogAhead), inMs(inRequest.estimate));
    const double alone = inMs(inRequest.estimate) - ahead;
    if (!mIsOverloaded) {
        decision.expected = inRequest.estimate;
        decision.bound = inRequest.toLimit;
        if (inRequest.mayRefuse && inRequest.estimate > inRequest.toLimit)
            decision.decidedBy = rule::no_time;
        if (inRequest.isNew)
            count(inRequest, !decision.isRefused(), inNow);
        return decision;
    }
    const auto set = [&](rule inRule, int inUrgency, double inExpectedMs, double inBoundMs) {
        decision.decidedBy = inRule;
        decision.urgency = inUrgency;
        decision.expected = fromMs(inExpectedMs);
        decision.bound = fromMs(inBoundMs);
    };
    const auto expectedMs = [&](int inUrgency) {
        return alone + ahead * lenient * waitingShare(inUrgency, inRequest);
    };
    const bool mayShed = inRequest.mayRefuse && inRequest.isNew;
    const int prompt = inTimeUrgency(priority);
    const double limitMs = inMs(inRequest.toLimit);
    const double targetMs = inMs(inRequest.toTarget) * mOptions.targetPart;
    const double promptMs = expectedMs(prompt);
    // Late requests get only the time that the more urgent ones leave.
    const double lateMs
        = alone + ahead * lenient * waitingShare(prompt + 1, inRequest) / lateSpeed(prompt);
    const double typical = mTypicalWork[static_cast<std::size_t>(priority)];
    const double relativeWork = inMs(inRequest.work) / std::max(1.0, typical);
    // The benefit of a late answer is the same for all sizes, so that the price of its work grows
    // with its size.
    const double lateBoundMs
        = limitMs * mOptions.limitPart / std::sqrt(std::clamp(relativeWork, 1.0, cMaxRelativeWork));
    const double higher = lowestShareOfHigherPriority(priority, inNow);
    decision.kindServed = mShares.share(kindGroup(inRequest.kind), inNow);
    decision.comparedServed = mShares.share(cAll, inNow);
    const bool isDrawn
        = isLargest(inRequest) && inRequest.draw < mOptions.sizeDraw * decision.kindServed;
    const double firstMs = expectedMs(0);
    if (isBelowGroupFloor(inRequest, inNow) && (firstMs <= limitMs || !inRequest.mayRefuse)) {
        set(rule::floor, 0, firstMs, limitMs);
    } else if (inRequest.mayRefuse && promptMs > limitMs) {
        set(rule::no_time, prompt, promptMs, limitMs);
    } else if (mayShed && higher + mOptions.priorityTolerance < decision.kindServed) {
        set(rule::shed_priority, prompt, promptMs, targetMs);
        decision.comparedServed = higher;
    } else if (promptMs <= targetMs) {
        set(rule::in_time, prompt, promptMs, targetMs);
    } else if (mayShed && lateMs > lateBoundMs && (isDrawn || isBelowSizeFloor(inRequest, inNow))) {
        set(rule::floor, prompt, promptMs, limitMs);
    } else if (mayShed && lateMs > lateBoundMs) {
        set(rule::shed_late, prompt + 1, lateMs, lateBoundMs);
    } else {
        set(rule::late, prompt + 1, lateMs, lateBoundMs);
    }
    if (inRequest.isNew)
        count(inRequest, !decision.isRefused(), inNow);
    if (decision.isRefused())
        decision.retryAfter = returnTime(inRequest, inBacklog, promptMs - targetMs, inNow);
    return decision;
}

/// Weight of the backlog by the age of the reports: 1 if they are fresh, 0 if they are about to be
/// dropped.
double overload_policy::lenience(const service_backlog &inBacklog) const
{
    const double range = inMs(mOptions.maxAge - mOptions.freshAge);
    return std::clamp(inMs(mOptions.maxAge - inBacklog.age) / range, 0.0, 1.0);
}

void overload_policy::observe(const overload_request &inRequest, core::time_point inNow)
{
    kind_state &kind = mKinds[inRequest.kind];
    kind.priority = clampPriority(inRequest.priority);
    smooth(kind.target, inMs(inRequest.toTarget));
    smooth(kind.prefill, inRequest.promptTokens / mOptions.promptTokensPerMs);
    kind.limit = std::max(inMs(inRequest.toLimit), kind.limit * cLimitDecay);
    kind.lastSeen = inNow;
    smooth(mTypicalWork[static_cast<std::size_t>(kind.priority)], inMs(inRequest.work));
    std::erase_if(mKinds, [&](const auto &inEntry) {
        return inNow - inEntry.second.lastSeen > cKindRetention;
    });
}

/// There is an overload if a typical request of some kind would miss its target behind the average
/// backlog.
void overload_policy::updateOverloaded(double inBacklogMs, core::time_point inNow)
{
    const double part = mIsOverloaded ? mOptions.endPart : 1;
    mIsOverloaded = std::ranges::any_of(mKinds, [&](const auto &inEntry) {
        const kind_state &kind = inEntry.second;
        // A kind that misses its target without backlog does not make an overload.
        const double room = std::max(kind.target * mOptions.targetPart - kind.prefill,
                                     kind.target * (1 - mOptions.targetPart));
        return inNow - kind.lastSeen <= cKindRetention && inBacklogMs > room * part;
    });
}

/// Part of the waiting prompt tokens that a request of this urgency waits for. The heartbeats do
/// not tell urgencies, so the instance's own requests are taken as a sample. With few of them, the
/// request is taken to be one more of those that fill the endpoints up to its target.
double overload_policy::waitingShare(int inUrgency, const overload_request &inRequest) const
{
    const double all = std::accumulate(mWaiting.begin(), mWaiting.end(), 0.0);
    const double urgent = std::accumulate(mWaiting.begin(), mWaiting.begin() + inUrgency + 1, 0.0);
    const double ahead = std::max(1.0, inMs(inRequest.backlogAhead));
    const bool isLate = inUrgency > inTimeUrgency(inRequest.priority);
    const double typical = isLate ? 1 : std::min(1.0, inMs(inRequest.toTarget) / ahead);
    const double weight = std::max(1.0, inRequest.promptTokens);
    return (urgent + typical * weight) / (all + weight);
}

/// Part of the endpoints' time that requests more urgent than a late one leave to it.
double overload_policy::lateSpeed(int inUrgency) const
{
    const double all = std::accumulate(mBegun.begin(), mBegun.end(), 0.0);
    const double urgent = std::accumulate(mBegun.begin(), mBegun.begin() + inUrgency + 1, 0.0);
    return all <= 0 ? 1 : std::max(mOptions.minLateSpeed, 1 - urgent / all);
}

bool overload_policy::isBelowGroupFloor(const overload_request &inRequest,
                                        core::time_point inNow) const
{
    const double bound = mShares.share(cAll, inNow) * mOptions.groupFloor;
    const auto isBelow = [&](const std::string &inGroup) {
        return mShares.weight(inGroup, inNow) >= mOptions.minCompared
            && mShares.share(inGroup, inNow) < bound;
    };
    return isBelow(kindGroup(inRequest.kind))
        || (!inRequest.account.empty() && isBelow(accountGroup(inRequest.account)));
}

bool overload_policy::isBelowSizeFloor(const overload_request &inRequest,
                                       core::time_point inNow) const
{
    const std::string group = sizeGroup(inRequest);
    return mShares.weight(group, inNow) >= mOptions.minCompared
        && mShares.share(group, inNow)
        < mShares.share(kindGroup(inRequest.kind), inNow) * mOptions.sizeFloor;
}

double overload_policy::lowestShareOfHigherPriority(int inPriority, core::time_point inNow) const
{
    double lowest = 1;
    for (const auto &[name, kind] : mKinds) {
        const std::string group = kindGroup(name);
        if (kind.priority < inPriority && mShares.weight(group, inNow) >= mOptions.minCompared)
            lowest = std::min(lowest, mShares.share(group, inNow));
    }
    return lowest;
}

/// Prompt relative to the average of its kind.
double overload_policy::relativeSize(const overload_request &inRequest) const
{
    const auto kind = mKinds.find(inRequest.kind);
    const double prefill = inRequest.promptTokens / mOptions.promptTokensPerMs;
    return kind == mKinds.end() ? 1 : prefill / std::max(1.0, kind->second.prefill);
}

bool overload_policy::isLargest(const overload_request &inRequest) const
{
    return relativeSize(inRequest) > cLargestSize;
}

/// Group of the requests of a kind by size.
std::string overload_policy::sizeGroup(const overload_request &inRequest) const
{
    const double size = relativeSize(inRequest);
    return kindGroup(inRequest.kind)
        + (size > cLargestSize     ? " largest"
               : size > cLargeSize ? " large"
                                   : " usual");
}

/// Time after which the caller should come back: when the backlog has become short enough, behind
/// the requests that were refused before and are at least as important.
core::duration overload_policy::returnTime(const overload_request &inRequest,
                                           const service_backlog &inBacklog, double inWaitMs,
                                           core::time_point inNow)
{
    const auto priority = static_cast<std::size_t>(clampPriority(inRequest.priority));
    core::time_point at = inNow + mOptions.minRetryAfter + fromMs(std::max(0.0, inWaitMs));
    for (std::size_t index = 0; index <= priority; ++index)
        at = std::max(at, mReturnsUntil[index]);
    // The instance gives out its part of the endpoints' time.
    const double own = std::accumulate(mWaiting.begin(), mWaiting.end(), 0.0);
    const double part = std::clamp(own / std::max(1.0, inBacklog.promptTokens), 0.001, 1.0);
    const double step = inMs(inRequest.work) / (part * std::max(1, inBacklog.endpoints));
    const core::time_point latest = inNow + fromMs(inMs(inRequest.toLimit) * mOptions.maxRetryPart);
    at = std::min(at, latest);
    mReturnsUntil[priority] = std::min(at + fromMs(step), latest);
    return std::max(at - inNow, core::duration::zero());
}

std::vector<std::string> overload_policy::groupsOf(const overload_request &inRequest) const
{
    std::vector<std::string> groups{cAll, kindGroup(inRequest.kind), sizeGroup(inRequest)};
    if (!inRequest.account.empty())
        groups.push_back(accountGroup(inRequest.account));
    return groups;
}

/// Counts a decision in the served shares. These are shares of calls: a request that returned after
/// a refusal is no new call, but adds to those that were served.
void overload_policy::count(const overload_request &inRequest, bool inServed,
                            core::time_point inNow)
{
    const bool isReturn
        = inMs(inRequest.toLimit) < mOptions.returnPart * mKinds[inRequest.kind].limit;
    for (const std::string &group : groupsOf(inRequest)) {
        if (!isReturn)
            mShares.add(group, inServed, inNow);
        else if (inServed)
            mShares.changeServed(group, 1, inNow);
    }
}

void overload_policy::notServed(const overload_request &inRequest, core::time_point inNow)
{
    for (const std::string &group : groupsOf(inRequest))
        mShares.changeServed(group, -1, inNow);
}

void overload_policy::sent(int inUrgency, double inPromptTokens)
{
    mWaiting[static_cast<std::size_t>(clampPriority(inUrgency))] += inPromptTokens;
}

void overload_policy::noLongerWaiting(int inUrgency, double inPromptTokens, bool inBegun,
                                      core::time_point inNow)
{
    const auto index = static_cast<std::size_t>(clampPriority(inUrgency));
    // Sums of many tokens leave rounding errors.
    mWaiting[index] = std::max(0.0, mWaiting[index] - inPromptTokens);
    if (!inBegun)
        return;
    const std::chrono::duration<double> elapsed = inNow - mBegunAt;
    const double factor = std::exp2(-(elapsed / cBegunHalfLife));
    for (double &tokens : mBegun)
        tokens *= factor;
    mBegunAt = inNow;
    mBegun[index] += inPromptTokens;
}

} // namespace corneltally::scheduling
