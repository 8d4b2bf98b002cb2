#pragma once

#include "corneltally/scheduling/adapter_demand.h"
#include "corneltally/scheduling/queued_request.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corneltally::scheduling {

/// Options of endpoint_queue.
struct queue_options
{
    /// Requests that run at the same time.
    int runSlots = 8;
    std::size_t maxQueued = 256;
    /// Wait after which a patient request is treated as prompt class.
    core::duration patientMaxWait = std::chrono::seconds(20);
    /// Virtual time by which an account may be ahead of the next one in order and still be
    /// preferred because its adapter has runs already.
    double quantumTokens = 2'000;
    /// For this long after the arrival of a prompt request, a quarter of the run slots is reserved
    /// for the prompt class: a review (patient class) occupies its slot for many times the wait
    /// that a quote (prompt class) tolerates.
    core::duration promptReserve = std::chrono::seconds(5);
};

/// Queue and running requests of an endpoint. Start-time fair queueing shares the tokens among
/// client accounts. The prompt class goes before the patient class within limits that keep the
/// patient class from starving. A request that is not eligible does not block others.
class endpoint_queue
{
public:
    using eligibility = std::function<bool(const queued_request &)>;

    explicit endpoint_queue(queue_options inOptions = {});

    /// Replaces the options; queued requests are kept.
    void configure(queue_options inOptions);

    /// Queues a request. Returns false if the queue is full.
    bool push(queued_request inRequest, core::time_point inNow);

    /// Removes a queued request, for example because its caller disconnected.
    std::optional<queued_request> remove(std::string_view inRequestId);

    /// Removes and returns all queued requests whose deadline has passed.
    std::vector<queued_request> takeExpired(core::time_point inNow);

    /// Removes and returns all queued requests.
    std::vector<queued_request> takeAll();

    /// Removes the next eligible request and counts it as running, if a run slot is free.
    std::optional<queued_request> pop(const eligibility &inEligible, core::time_point inNow);

    /// Counts a request as running without queueing it, for example a resumed stream.
    void startDirectly(queued_request inRequest, core::time_point inNow);

    /// Ends a running request. Reserved tokens that it did not use are credited to its account.
    void ended(std::string_view inRequestId, double inUsedTokens);

    std::size_t queuedCount() const { return mWaiting.size(); }
    double queuedTokens() const;
    int runningCount() const { return static_cast<int>(mRunning.size()); }
    bool hasFreeSlot() const { return runningCount() < mOptions.runSlots; }
    int runningOf(std::string_view inAdapter) const;
    int queuedOf(std::string_view inAdapter) const;
    const queue_options &options() const { return mOptions; }

    /// Queued requests summarized by adapter, most urgent first.
    std::vector<adapter_demand> demand(core::time_point inNow) const;

private:
    struct account_state
    {
        /// Start tag of the next request of the account, in tokens divided by its weight.
        double virtualTime = 0;
        int queued = 0;
        int running = 0;
    };
    struct waiting_request
    {
        queued_request request;
        /// Tokens of requests that were started before this one because their adapter had runs
        /// already.
        double bypassedTokens = 0;
    };
    struct running_request
    {
        std::string account;
        double weight = 1;
        std::string adapter;
        double tokens = 0;
        bool prompt = true;
    };
    using position = std::size_t;

    bool competesAsPrompt(const queued_request &inRequest, core::time_point inNow) const;
    double startTag(const queued_request &inRequest) const;
    bool mayStartPatient(core::time_point inNow) const;
    /// Positions of the eligible requests of the class to serve next, in order of arrival.
    std::vector<position> nextCandidates(const eligibility &inEligible,
                                         core::time_point inNow) const;
    position choose(const std::vector<position> &inPositions);
    queued_request takeAt(position inPosition);
    void startRunning(const queued_request &inRequest);
    void eraseIdleAccount(const std::string &inAccount);

    queue_options mOptions;
    /// In order of arrival. Limited to maxQueued entries, so that linear scans are cheap.
    std::vector<waiting_request> mWaiting;
    std::unordered_map<std::string, running_request> mRunning;
    std::map<std::string, int, std::less<>> mRunningByAdapter;
    std::map<std::string, account_state, std::less<>> mAccounts;
    int mRunningPatient = 0;
    double mVirtualTime = 0;
    std::uint64_t mNextSequence = 0;
    std::optional<core::time_point> mLastPromptArrival;
};

} // namespace corneltally::scheduling
