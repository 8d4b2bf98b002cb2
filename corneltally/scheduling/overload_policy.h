#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/scheduling/served_shares.h"
#include "corneltally/scheduling/service_backlog.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::scheduling {

/// Options of overload_policy.
struct overload_options
{
    /// Prompt tokens that an endpoint prefills in a millisecond, with the overhead of its steps:
    /// 40 tokens/ms and 5 ms for each step of 2,048 tokens.
    double promptTokensPerMs = 36;
    /// Load reports that are older weigh less, down to nothing at maxAge, where they are dropped.
    core::duration freshAge = std::chrono::milliseconds(500);
    core::duration maxAge = std::chrono::milliseconds(1500);
    /// A request counts as in time if it is expected within this part of its target. The rest is
    /// for the engine's step in progress and errors of the estimate.
    double targetPart = 0.9;
    /// A request that will be late is sent if it is expected within this part of its limit.
    double limitPart = 0.8;
    /// Lower bound of the part of an endpoint's time that is left to late requests.
    double minLateSpeed = 0.05;
    /// A kind is refused if one of higher priority is served less often by this. The bound that
    /// holds over all instances is 0.05.
    double priorityTolerance = 0.03;
    /// Requests of an account or a kind that is served less than this part as often as all are
    /// sent first. The bound is a quarter.
    double groupFloor = 0.35;
    /// The same for requests of a size, relative to their kind. The bound is one half.
    double sizeFloor = 0.65;
    /// Part of the largest requests that are sent instead of refused, relative to the served share
    /// of their kind. In the simulation at three times the traffic, 0.5 left the largest tenth of a
    /// kind at 0.497 of it, below the bound of one half, and 0.6 at 0.67.
    double sizeDraw = 0.6;
    /// A request with less than this part of its kind's time left returned after a refusal.
    double returnPart = 0.98;
    /// Minimum number of recent requests for a comparison of served shares.
    double minCompared = 4;
    /// The overload ends below this part of the backlog at which it begins.
    double endPart = 0.8;
    core::duration minRetryAfter = std::chrono::milliseconds(150);
    /// Callers honour a Retry-After up to this part of the time that they have left.
    double maxRetryPart = 1.0 / 3;
};

/// A request that a decision is made for.
struct overload_request
{
    /// Route and priority; requests of one kind are alike except for their size.
    std::string kind;
    /// Empty if the request has no account.
    std::string account;
    int priority = 0;
    core::duration toTarget{};
    core::duration toLimit{};
    double promptTokens = 0;
    /// Time that an endpoint spends on the request: prefill, its part of the steps of the answer
    /// and an adapter load.
    core::duration work{};
    /// Expected time to the first event at the best endpoint, behind everything that waits there.
    core::duration estimate{};
    /// Part of it for the prompts that wait there.
    core::duration backlogAhead{};
    /// Number in [0, 1) drawn for the request, for example from its id. It decides which of the
    /// largest requests that would be refused are sent.
    double draw = 1;
    /// Whether it is certain that the request has not run.
    bool mayRefuse = true;
    /// Whether the request has just arrived; later it is refused only if its time is too short.
    bool isNew = true;
};

/// What is done with a request, and the figures that decided it.
struct overload_decision
{
    enum class rule {
        /// There is no overload: sent as without the policy.
        none,
        /// Sent ahead of the late requests of its priority.
        in_time,
        /// Sent behind the requests of its priority that can be in time.
        late,
        /// Sent ahead of others, since its account, kind or size is served too seldom.
        floor,
        /// Refused: it can't be served within its limit.
        no_time,
        /// Refused: as a late request it is not expected within the bound for its work.
        shed_late,
        /// Refused: a kind of higher priority is served less often.
        shed_priority,
    };

    rule decidedBy = rule::none;
    int urgency = 0;
    /// For requests that are refused during an overload; zero otherwise.
    core::duration retryAfter{};
    /// Average wait at the service's endpoints.
    core::duration backlog{};
    /// Expected time to the first event with the urgency of the request.
    core::duration expected{};
    /// Time that it was compared with.
    core::duration bound{};
    /// Share of the recent requests of the same kind that were served, and of the requests that it
    /// was compared with: those of a kind of higher priority, or all.
    double kindServed = 1;
    double comparedServed = 1;

    bool isRefused() const { return decidedBy >= rule::no_time; }
};

std::string_view toString(overload_decision::rule inRule);

/// Decides for the requests of one service which are sent, with which urgency, and which are
/// refused when the backlog of the service's endpoints is too long for all targets. See
/// docs/design/overload.md.
class overload_policy
{
public:
    static constexpr int sUrgencies = 10;

    explicit overload_policy(overload_options inOptions = {});

    overload_decision decide(const overload_request &inRequest, const service_backlog &inBacklog,
                             core::time_point inNow);

    /// A request of this instance was sent, or no longer waits for its first event.
    void sent(int inUrgency, double inPromptTokens);
    void noLongerWaiting(int inUrgency, double inPromptTokens, bool inBegun,
                         core::time_point inNow);

    /// A request that was sent was not served within its limit.
    void notServed(const overload_request &inRequest, core::time_point inNow);

    bool isOverloaded() const { return mIsOverloaded; }

    const served_shares &shares() const { return mShares; }

private:
    struct kind_state
    {
        int priority = 0;
        /// Moving averages, in milliseconds.
        double target = 0;
        double prefill = 0;
        /// Longest recent time to the limit, which requests have that come for the first time.
        double limit = 0;
        core::time_point lastSeen;
    };

    double lenience(const service_backlog &inBacklog) const;
    void observe(const overload_request &inRequest, core::time_point inNow);
    void updateOverloaded(double inBacklogMs, core::time_point inNow);
    double waitingShare(int inUrgency, const overload_request &inRequest) const;
    double lateSpeed(int inUrgency) const;
    bool isBelowGroupFloor(const overload_request &inRequest, core::time_point inNow) const;
    bool isBelowSizeFloor(const overload_request &inRequest, core::time_point inNow) const;
    double lowestShareOfHigherPriority(int inPriority, core::time_point inNow) const;
    double relativeSize(const overload_request &inRequest) const;
    bool isLargest(const overload_request &inRequest) const;
    std::string sizeGroup(const overload_request &inRequest) const;
    core::duration returnTime(const overload_request &inRequest, const service_backlog &inBacklog,
                              double inWaitMs, core::time_point inNow);
    std::vector<std::string> groupsOf(const overload_request &inRequest) const;
    void count(const overload_request &inRequest, bool inServed, core::time_point inNow);

    overload_options mOptions;
    std::map<std::string, kind_state, std::less<>> mKinds;
    served_shares mShares;
    /// Prompt tokens of this instance's requests without a first event, by urgency.
    std::array<double, sUrgencies> mWaiting{};
    /// Prompt tokens whose first events came, by urgency, with the weight of their age.
    std::array<double, sUrgencies> mBegun{};
    core::time_point mBegunAt;
    /// Average work by priority, in milliseconds.
    std::array<double, sUrgencies> mTypicalWork{};
    /// Until when returns were given out, by priority.
    std::array<core::time_point, sUrgencies> mReturnsUntil{};
    bool mIsOverloaded = false;
};

} // namespace corneltally::scheduling
