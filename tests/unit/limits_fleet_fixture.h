#pragma once

#include "corneltally/limits/shared_limiter.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace limits_fixture {

using namespace corneltally;
using namespace std::chrono_literals;
using core::duration;

/// Load and faults of the simulated fleet.
struct fleet_options
{
    unsigned seed = 1;
    duration length = 120s;
    double rate = 1000;
    double burst = 4000;
    int instances = 4;
    bool loans = true;
    /// Probabilities per message.
    double loss = 0;
    double duplication = 0;
    double longDelay = 0;
    /// Mean time between faults of an instance; zero means none.
    duration pauseEvery{};
    duration restartEvery{};
    /// Whether instance 5 joins and leaves the settings tree.
    bool joins = false;
    /// Offered tokens relative to the rate, over the fleet.
    double load = 1;
    /// Fraction of the load that arrives at one instance, which changes every few seconds.
    double skew = 0.7;
    /// Longest idle time between phases of load, in which buckets fill; zero means no idle times.
    duration idle{};
    /// Longest phase of load between idle times.
    duration busy = 10s;
    /// Whether requests use less than they were charged.
    bool refunds = true;
    double meanTokens = 150;
};

/// Several instances that share one limit, on a virtual clock; each has its own boot clock.
class fleet_simulation
{
public:
    struct spend
    {
        duration at{};
        double charged = 0;
        double used = 0;
    };

    explicit fleet_simulation(fleet_options inOptions)
        : mOptions(inOptions)
        , mRandom(inOptions.seed)
        , mCurrent(static_cast<std::size_t>(inOptions.instances + (inOptions.joins ? 1 : 0)))
        , mListed(static_cast<std::size_t>(inOptions.instances))
    {
        for (std::size_t instance = 0; instance < mCurrent.size(); ++instance)
            startProcess(instance);
    }

    void run()
    {
        scheduleArrival();
        scheduleFault(mOptions.pauseEvery, [this] { pauseOne(); });
        scheduleFault(mOptions.restartEvery, [this] { startProcess(pickListed()); });
        if (mOptions.joins)
            scheduleTreeChange();
        while (!mEvents.empty() && mEvents.begin()->first <= mOptions.length) {
            const auto event = mEvents.extract(mEvents.begin());
            mNow = event.key();
            event.mapped()();
        }
    }

    /// Greatest excess over rate x window + burst over all windows; at most 0 if the limit holds.
    double excess() const
    {
        double content = 0;
        double worst = -mOptions.burst;
        duration last{};
        for (const spend &item : mSpends) {
            const double seconds = std::chrono::duration<double>(item.at - last).count();
            content = std::max(0.0, content - mOptions.rate * seconds) + item.used;
            last = item.at;
            worst = std::max(worst, content - mOptions.burst);
        }
        return worst;
    }

    double usedTokens() const
    {
        double sum = 0;
        for (const spend &item : mSpends)
            sum += item.used;
        return sum;
    }

    int arrivals = 0;
    int admitted = 0;
    int refused = 0;
    /// Refusals although one central bucket with the whole limit contained the tokens.
    int avoidable = 0;
    int loansGranted = 0;

private:
    struct process
    {
        std::size_t instance = 0;
        std::string name;
        duration clockOffset{};
        std::unique_ptr<limits::shared_limiter> limiter;
        bool alive = true;
        bool paused = false;
        duration pausedAt{};
        duration wakeAt{};
        std::vector<std::function<void()>> deferred;
        std::map<std::string, std::pair<double, duration>> waiting;
    };
    using process_ptr = std::shared_ptr<process>;

    core::time_point local(const process &inProcess) const
    {
        return core::time_point(mNow + inProcess.clockOffset);
    }
    static std::string sName(std::size_t inInstance)
    {
        return std::string("entry-").append(std::to_string(inInstance + 1));
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
    duration between(duration inLow, duration inHigh)
    {
        return duration(
            std::uniform_int_distribution<long long>(inLow.count(), inHigh.count())(mRandom));
    }
    std::size_t pickListed()
    {
        return std::uniform_int_distribution<std::size_t>(0, mListed - 1)(mRandom);
    }
    /// Includes instances that the tree does not list: callers may still be connected to them.
    std::size_t pickAny()
    {
        return std::uniform_int_distribution<std::size_t>(0, mCurrent.size() - 1)(mRandom);
    }
    void at(duration inTime, std::function<void()> inTask)
    {
        mEvents.emplace(inTime, std::move(inTask));
    }

    /// Runs a task in a process: skipped if the process has ended, deferred while it is paused.
    void inProcess(const process_ptr &inTarget, const std::function<void()> &inTask)
    {
        if (!inTarget->alive)
            return;
        if (inTarget->paused) {
            inTarget->deferred.push_back([this, inTarget, inTask] { inProcess(inTarget, inTask); });
            return;
        }
        inTask();
        poll(inTarget);
    }

    void startProcess(std::size_t inInstance)
    {
        if (mCurrent[inInstance] && !mCurrent[inInstance]->paused)
            mCurrent[inInstance]->alive = false;
        auto next = std::make_shared<process>();
        next->instance = inInstance;
        next->name = sName(inInstance);
        next->clockOffset = between(1000s, 100'000s);
        next->limiter = std::make_unique<limits::shared_limiter>(
            mOptions.rate, mOptions.burst,
            inInstance < mListed ? 1.0 / static_cast<double>(mListed) : 0.0, local(*next),
            static_cast<std::uint64_t>(mNow.count()) * 1000);
        mCurrent[inInstance] = next;
        setPeers(*next);
    }

    void setPeers(process &ioProcess)
    {
        std::vector<std::string> peers;
        for (std::size_t other = 0; mOptions.loans && other < mListed; ++other) {
            if (other != ioProcess.instance)
                peers.push_back(sName(other));
        }
        ioProcess.limiter->setPeers(std::move(peers));
    }

    void scheduleFault(duration inEvery, const std::function<void()> &inFault)
    {
        if (inEvery.count() == 0)
            return;
        at(mNow + between(0us, 2 * inEvery), [this, inEvery, inFault] {
            inFault();
            scheduleFault(inEvery, inFault);
        });
    }

    void pauseOne()
    {
        const process_ptr target = mCurrent[pickListed()];
        if (target->paused)
            return;
        target->paused = true;
        target->pausedAt = mNow;
        const duration length = between(100ms, 12s);
        at(mNow + length, [this, target] { resume(target); });
        // Some processes are replaced while they are paused and learn of it only after resuming.
        if (length > 2s && uniform() < 0.5)
            at(mNow + 2s, [this, target] {
                if (target->paused)
                    startProcess(target->instance);
            });
    }

    void resume(const process_ptr &inTarget)
    {
        if (!inTarget->alive)
            return;
        inTarget->paused = false;
        if (mNow - inTarget->pausedAt > 1s)
            inTarget->limiter->paused(local(*inTarget));
        if (mCurrent[inTarget->instance] != inTarget)
            at(mNow + between(0us, 1s), [inTarget] { inTarget->alive = false; });
        std::vector<std::function<void()>> deferred;
        deferred.swap(inTarget->deferred);
        for (const auto &task : deferred)
            task();
        // Callers are still connected to the old process.
        for (int request = 0; request < 40; ++request)
            at(mNow + request * 25ms, [this, inTarget] { arrive(inTarget); });
    }

    void scheduleTreeChange()
    {
        at(mNow + between(4s, 25s), [this] {
            mListed = mListed == mCurrent.size() ? mCurrent.size() - 1 : mCurrent.size();
            const double fraction = 1.0 / static_cast<double>(mListed);
            for (const process_ptr &target : mCurrent) {
                const double own = target->instance < mListed ? fraction : 0.0;
                at(mNow + between(0us, 3s), [this, target, own] {
                    inProcess(target, [this, target, own] {
                        target->limiter->setFraction(own, local(*target));
                        setPeers(*target);
                    });
                });
            }
            scheduleTreeChange();
        });
    }

    void scheduleArrival()
    {
        if (mNow >= mPhaseUntil && mOptions.idle.count() > 0) {
            mIdle = !mIdle;
            mPhaseUntil = mNow
                + (mIdle ? between(mOptions.idle / 4, mOptions.idle)
                         : between(200ms, mOptions.busy));
        }
        const double perSecond = mOptions.load * mOptions.rate / mOptions.meanTokens;
        const double seconds = std::exponential_distribution<double>(perSecond)(mRandom);
        at(mNow + duration(static_cast<long long>(seconds * 1e6) + 1), [this] {
            if (mNow >= mHotUntil) {
                mHot = pickAny();
                mHotUntil = mNow + between(1s, 8s);
            }
            if (!mIdle) {
                const bool hot = uniform() < mOptions.skew;
                arrive(mCurrent[hot ? mHot : pickAny()]);
            }
            scheduleArrival();
        });
    }

    void arrive(const process_ptr &inTarget)
    {
        const double tokens = mOptions.meanTokens * (0.2 + 1.6 * uniform());
        const std::string id = std::string("r").append(std::to_string(++arrivals));
        inProcess(inTarget, [this, inTarget, id, tokens] {
            inTarget->waiting[id] = {tokens, mNow};
            const core::time_point now = local(*inTarget);
            inTarget->limiter->submit(id, tokens, now + 10s, now);
        });
    }

    void poll(const process_ptr &inTarget)
    {
        limits::shared_limiter::actions actions = inTarget->limiter->poll(local(*inTarget));
        for (const auto &decision : actions.decisions)
            decided(inTarget, decision);
        if (actions.loanRequest) {
            const auto request = *actions.loanRequest;
            send(inTarget->instance, request.lender,
                 [this, inTarget, request](const process_ptr &inLender) {
                     answerLoanRequest(inTarget, inLender, request);
                 });
        }
        if (actions.wakeAt)
            scheduleWake(
                inTarget,
                std::max(mNow + 1us, actions.wakeAt->time_since_epoch() - inTarget->clockOffset));
    }

    void scheduleWake(const process_ptr &inTarget, duration inAt)
    {
        if (inTarget->wakeAt > mNow && inTarget->wakeAt <= inAt)
            return;
        inTarget->wakeAt = inAt;
        at(inAt, [this, inTarget, inAt] {
            if (inTarget->wakeAt == inAt)
                inProcess(inTarget, [] {});
        });
    }

    void answerLoanRequest(const process_ptr &inBorrower, const process_ptr &inLender,
                           const limits::shared_limiter::loan_request &inRequest)
    {
        const auto loan = inLender->limiter->lend(
            inBorrower->name, inRequest.loanId, inRequest.rate, inRequest.tokens, local(*inLender));
        loansGranted += loan.tokens > 0 || loan.rate > 0 ? 1 : 0;
        const std::string lender = inLender->name;
        send(inLender->instance, inBorrower->name,
             [this, lender, inRequest, loan](const process_ptr &inTarget) {
                 inTarget->limiter->loanReceived(lender, inRequest.loanId, loan, local(*inTarget));
             });
    }

    void send(std::size_t inFrom, const std::string &inTo,
              const std::function<void(const process_ptr &)> &inTask)
    {
        const int copies = uniform() < mOptions.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (uniform() < mOptions.loss)
                continue;
            const duration delay
                = uniform() < mOptions.longDelay ? between(2ms, 4s) : between(500us, 2ms);
            at(mNow + delay, [this, inFrom, inTo, inTask] {
                for (const process_ptr &target : mCurrent) {
                    if (target->name == inTo && target->instance != inFrom)
                        inProcess(target, [inTask, target] { inTask(target); });
                }
            });
        }
    }

    void decided(const process_ptr &inTarget, const limits::shared_limiter::decision &inDecision)
    {
        const auto found = inTarget->waiting.find(inDecision.requestId);
        const double tokens = found->second.first;
        inTarget->waiting.erase(found);
        refillCentral();
        if (inDecision.outcome != limits::limiter_outcome::admitted) {
            ++refused;
            avoidable += mCentral >= tokens ? 1 : 0;
            return;
        }
        ++admitted;
        mCentral -= tokens;
        const std::size_t index = mSpends.size();
        mSpends.push_back({.at = mNow, .charged = tokens, .used = tokens});
        if (!mOptions.refunds)
            return;
        const double used = uniform() < 0.7 ? tokens : 0;
        const std::string id = inDecision.requestId;
        at(mNow + between(50ms, 12s), [this, inTarget, index, used, id] {
            inProcess(inTarget, [this, inTarget, index, used, id] {
                mSpends[index].used = used;
                inTarget->limiter->settle(id, used, local(*inTarget));
            });
        });
    }

    void refillCentral()
    {
        const double seconds = std::chrono::duration<double>(mNow - mCentralAt).count();
        mCentral = std::min(mOptions.burst, mCentral + mOptions.rate * seconds);
        mCentralAt = mNow;
    }

    fleet_options mOptions;
    std::mt19937 mRandom;
    duration mNow{};
    std::multimap<duration, std::function<void()>> mEvents;
    std::vector<process_ptr> mCurrent;
    std::size_t mListed;
    std::size_t mHot = 0;
    duration mHotUntil{};
    bool mIdle = false;
    duration mPhaseUntil{};
    std::vector<spend> mSpends;
    double mCentral = 0;
    duration mCentralAt{};
};

} // namespace limits_fixture
