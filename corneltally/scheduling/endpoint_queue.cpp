#include "corneltally/scheduling/endpoint_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace corneltally::scheduling {

namespace {

/// Number of quanta that an account may catch up after its requests could not start because their
/// adapter was not resident. Without a limit it would block all other accounts meanwhile.
constexpr double cMaxCatchUpQuanta = 4;

/// Limit, in weighted tokens, of what one account adds to the urgency of one adapter. Keeps an
/// account that sends several times its rate from getting all loads.
constexpr double cMaxDemandTokens = 8'000;

/// Weight of a queued token of the prompt class in the urgency of an adapter; a token of the
/// patient class counts 1.
constexpr double cPromptFactor = 4;

} // namespace

endpoint_queue::endpoint_queue(queue_options inOptions)
    : mOptions(inOptions)
{ }

void endpoint_queue::configure(queue_options inOptions)
{
    mOptions = inOptions;
}

bool endpoint_queue::push(queued_request inRequest, core::time_point inNow)
{
    if (mWaiting.size() >= mOptions.maxQueued)
        return false;
    assert(inRequest.weight > 0);
    if (inRequest.prompt)
        mLastPromptArrival = inNow;
    account_state &account = mAccounts[inRequest.account];
    if (account.queued++ == 0)
        account.virtualTime = std::max(account.virtualTime, mVirtualTime);
    inRequest.arrived = inNow;
    inRequest.sequence = mNextSequence++;
    mWaiting.push_back({std::move(inRequest), 0});
    return true;
}

std::optional<queued_request> endpoint_queue::remove(std::string_view inRequestId)
{
    for (position index = 0; index < mWaiting.size(); ++index) {
        if (mWaiting[index].request.requestId == inRequestId) {
            queued_request request = takeAt(index);
            eraseIdleAccount(request.account);
            return request;
        }
    }
    return std::nullopt;
}

std::vector<queued_request> endpoint_queue::takeExpired(core::time_point inNow)
{
    std::vector<queued_request> expired;
    for (position index = 0; index < mWaiting.size();) {
        if (mWaiting[index].request.deadline <= inNow) {
            expired.push_back(takeAt(index));
            eraseIdleAccount(expired.back().account);
        } else {
            ++index;
        }
    }
    return expired;
}

std::vector<queued_request> endpoint_queue::takeAll()
{
    std::vector<queued_request> all;
    while (!mWaiting.empty()) {
        all.push_back(takeAt(0));
        eraseIdleAccount(all.back().account);
    }
    return all;
}

std::optional<queued_request> endpoint_queue::pop(const eligibility &inEligible,
                                                  core::time_point inNow)
{
    if (!hasFreeSlot())
        return std::nullopt;
    const std::vector<position> positions = nextCandidates(inEligible, inNow);
    if (positions.empty())
        return std::nullopt;
    queued_request request = takeAt(choose(positions));
    startRunning(request);
    return request;
}

void endpoint_queue::startDirectly(queued_request inRequest, core::time_point inNow)
{
    inRequest.arrived = inNow;
    account_state &account = mAccounts[inRequest.account];
    if (account.queued == 0)
        account.virtualTime = std::max(account.virtualTime, mVirtualTime);
    startRunning(inRequest);
}

void endpoint_queue::ended(std::string_view inRequestId, double inUsedTokens)
{
    const auto found = mRunning.find(std::string(inRequestId));
    if (found == mRunning.end())
        return;
    const running_request request = std::move(found->second);
    mRunning.erase(found);
    const auto adapter = mRunningByAdapter.find(request.adapter);
    assert(adapter != mRunningByAdapter.end());
    if (--adapter->second == 0)
        mRunningByAdapter.erase(adapter);
    if (!request.prompt)
        --mRunningPatient;
    account_state &account = mAccounts[request.account];
    --account.running;
    account.virtualTime
        -= std::clamp(request.tokens - inUsedTokens, 0.0, request.tokens) / request.weight;
    eraseIdleAccount(request.account);
}

double endpoint_queue::queuedTokens() const
{
    double tokens = 0;
    for (const waiting_request &entry : mWaiting)
        tokens += entry.request.tokens;
    return tokens;
}

int endpoint_queue::runningOf(std::string_view inAdapter) const
{
    const auto found = mRunningByAdapter.find(inAdapter);
    return found == mRunningByAdapter.end() ? 0 : found->second;
}

int endpoint_queue::queuedOf(std::string_view inAdapter) const
{
    return static_cast<int>(std::ranges::count_if(mWaiting, [&](const waiting_request &inEntry) {
        return inEntry.request.adapter == inAdapter;
    }));
}

std::vector<adapter_demand> endpoint_queue::demand(core::time_point inNow) const
{
    std::map<std::string_view, adapter_demand> byAdapter;
    std::map<std::pair<std::string_view, std::string_view>, double> byAccount;
    std::map<std::pair<std::string_view, bool>, double> nextTag;
    for (const waiting_request &entry : mWaiting) {
        const queued_request &request = entry.request;
        const bool prompt = competesAsPrompt(request, inNow);
        double &tag
            = nextTag.try_emplace({request.account, prompt}, startTag(request)).first->second;
        adapter_demand &demand = byAdapter[request.adapter];
        const bool isFirst = demand.requests++ == 0;
        if (isFirst) {
            demand.adapter = request.adapter;
            demand.oldest = request.arrived;
        }
        if (isFirst || (prompt && !demand.prompt)
            || (prompt == demand.prompt && tag < demand.startTag)) {
            demand.prompt = prompt;
            demand.startTag = tag;
        }
        tag += request.tokens / request.weight;
        demand.tokens += request.tokens;
        byAccount[{request.adapter, request.account}]
            += request.tokens * (prompt ? cPromptFactor : 1);
    }
    for (const auto &[key, tokens] : byAccount)
        byAdapter[key.first].urgency += std::min(tokens, cMaxDemandTokens);
    std::vector<adapter_demand> sorted;
    for (auto &[name, demand] : byAdapter) {
        const std::chrono::duration<double> age = inNow - demand.oldest;
        demand.urgency *= 1 + age.count();
        sorted.push_back(std::move(demand));
    }
    std::ranges::sort(sorted, std::ranges::greater(), &adapter_demand::urgency);
    return sorted;
}

bool endpoint_queue::competesAsPrompt(const queued_request &inRequest, core::time_point inNow) const
{
    return inRequest.prompt || inNow - inRequest.arrived >= mOptions.patientMaxWait;
}

double endpoint_queue::startTag(const queued_request &inRequest) const
{
    const auto account = mAccounts.find(inRequest.account);
    assert(account != mAccounts.end());
    return std::max(account->second.virtualTime,
                    mVirtualTime - cMaxCatchUpQuanta * mOptions.quantumTokens);
}

bool endpoint_queue::mayStartPatient(core::time_point inNow) const
{
    if (mOptions.runSlots < 2 || !mLastPromptArrival
        || inNow - *mLastPromptArrival > mOptions.promptReserve)
        return true;
    return mRunningPatient < mOptions.runSlots - std::max(1, mOptions.runSlots / 4);
}

std::vector<endpoint_queue::position> endpoint_queue::nextCandidates(const eligibility &inEligible,
                                                                     core::time_point inNow) const
{
    std::vector<position> prompt;
    std::vector<position> patient;
    for (position index = 0; index < mWaiting.size(); ++index) {
        const queued_request &request = mWaiting[index].request;
        if (!inEligible(request))
            continue;
        (competesAsPrompt(request, inNow) ? prompt : patient).push_back(index);
    }
    const bool patientBelowMinimum = mRunningPatient < mOptions.runSlots / 4;
    if (!patient.empty() && patientBelowMinimum)
        return patient;
    if (!prompt.empty())
        return prompt;
    if (!mayStartPatient(inNow))
        patient.clear();
    return patient;
}

endpoint_queue::position endpoint_queue::choose(const std::vector<position> &inPositions)
{
    // Positions are in order of arrival: the strict comparison keeps the earlier of equal requests.
    position first = inPositions.front();
    for (const position index : inPositions) {
        if (startTag(mWaiting[index].request) < startTag(mWaiting[first].request))
            first = index;
    }
    if (mWaiting[first].bypassedTokens >= mOptions.quantumTokens)
        return first;
    const double limit = startTag(mWaiting[first].request) + mOptions.quantumTokens;
    std::optional<position> preferred;
    for (const position index : inPositions) {
        const queued_request &request = mWaiting[index].request;
        if (runningOf(request.adapter) == 0 || startTag(request) > limit)
            continue;
        if (!preferred || startTag(request) < startTag(mWaiting[*preferred].request))
            preferred = index;
    }
    if (!preferred || *preferred == first)
        return first;
    mWaiting[first].bypassedTokens += mWaiting[*preferred].request.tokens;
    return *preferred;
}

queued_request endpoint_queue::takeAt(position inPosition)
{
    const auto entry = mWaiting.begin() + static_cast<std::ptrdiff_t>(inPosition);
    queued_request request = std::move(entry->request);
    mWaiting.erase(entry);
    --mAccounts[request.account].queued;
    return request;
}

void endpoint_queue::startRunning(const queued_request &inRequest)
{
    const double start = startTag(inRequest);
    account_state &account = mAccounts[inRequest.account];
    ++account.running;
    account.virtualTime = start + inRequest.tokens / inRequest.weight;
    mVirtualTime = std::max(mVirtualTime, start);
    ++mRunningByAdapter[inRequest.adapter];
    if (!inRequest.prompt)
        ++mRunningPatient;
    mRunning.insert_or_assign(inRequest.requestId,
                              running_request{inRequest.account, inRequest.weight,
                                              inRequest.adapter, inRequest.tokens,
                                              inRequest.prompt});
}

void endpoint_queue::eraseIdleAccount(const std::string &inAccount)
{
    const auto found = mAccounts.find(inAccount);
    if (found != mAccounts.end() && found->second.queued == 0 && found->second.running == 0
        && found->second.virtualTime <= mVirtualTime)
        mAccounts.erase(found);
}

} // namespace corneltally::scheduling
