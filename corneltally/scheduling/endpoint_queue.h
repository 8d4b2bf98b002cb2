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

/// Limits of the queue of one endpoint.
struct queue_options
{
    /// Requests that run at the same time.
    int runSlots = 8;
    std::size_t maxQueued = 256;
    /// A patient request that waited this long competes as prompt.
    core::duration patientMaxWait = std::chrono::seconds(20);
    /// Virtual time that an account may be ahead and still be preferred for its running adapter.
    double quantumTokens = 2'000;
    /// After a prompt request arrived, a quarter of the slots is kept free of patient requests for
    /// this long: a review holds its slot for many times the wait that a quote tolerates.
    core::duration promptReserve = std::chrono::seconds(5);
};

/// Waiting and running requests of an endpoint: start-time fair queueing over client accounts in
/// tokens, prompt before patient within bounds. A request that is not eligible blocks no other.
class endpoint_queue
{
public:
    using eligibility = std::function<bool(const queued_request &)>;

    explicit endpoint_queue(queue_options inOptions = {});

    /// Replaces the limits; requests that already wait are kept.
    void configure(queue_options inOptions);

    /// Queues a request; false if the queue is full.
    bool push(queued_request inRequest, core::time_point inNow);

    /// Takes a waiting request out, for example because its caller left.
    std::optional<queued_request> remove(std::string_view inRequestId);

    /// Takes out all requests whose deadline has passed.
    std::vector<queued_request> takeExpired(core::time_point inNow);

    /// Takes out all requests.
    std::vector<queued_request> takeAll();

    /// Starts the next eligible request, if a slot is free, and counts it as running.
    std::optional<queued_request> pop(const eligibility &inEligible, core::time_point inNow);

    /// Counts a request as running that did not wait, such as a resumed stream.
    void startDirectly(queued_request inRequest, core::time_point inNow);

    /// A running request ended. The account gets back what it reserved and did not use.
    void ended(std::string_view inRequestId, double inUsedTokens);

    std::size_t queuedCount() const { return mWaiting.size(); }
    double queuedTokens() const;
    int runningCount() const { return static_cast<int>(mRunning.size()); }
    bool hasFreeSlot() const { return runningCount() < mOptions.runSlots; }
    int runningOf(std::string_view inAdapter) const;
    int queuedOf(std::string_view inAdapter) const;
    const queue_options &options() const { return mOptions; }

    /// Waiting requests by adapter, the most urgent first.
    std::vector<adapter_demand> demand(core::time_point inNow) const;

private:
    struct account_state
    {
        /// Start tag of the account's next request, in tokens divided by weight.
        double virtualTime = 0;
        int queued = 0;
        int running = 0;
    };
    struct waiting_request
    {
        queued_request request;
        /// Tokens of later requests that were started first because their adapter was running.
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
    /// Positions of the class to serve next, in order of arrival.
    std::vector<position> nextCandidates(const eligibility &inEligible,
                                         core::time_point inNow) const;
    position choose(const std::vector<position> &inPositions);
    queued_request takeAt(position inPosition);
    void startRunning(const queued_request &inRequest);
    void eraseIdleAccount(const std::string &inAccount);

    queue_options mOptions;
    /// In order of arrival; bounded by maxQueued, so that a scan is cheap.
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
