#pragma once

#include "standins/caller_connection.h"
#include "standins/child_process.h"
#include "tests/integration/drain_plan.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Plays a plan on one instance: callers that begin before SIGTERM and keep each connection until
/// the instance has closed it in full, and signals. Works in the thread that calls play().
class drain_run
{
public:
    /// Text of a request with an id.
    using request_maker
        = std::function<std::string(const planned_send &inSend, const std::string &inId)>;

    drain_run(drain_plan inPlan, standins::child_process &ioInstance, request_maker inMaker);
    ~drain_run();

    /// Returns when the process is gone, or at a time by which it should be.
    void play();

    struct result
    {
        std::optional<int> exitCode;
        double exitAt = 0;
        std::size_t connections = 0;
        std::size_t resets = 0;
        /// Requests that were sent whole, and those whose answer is complete, by status.
        std::size_t sent = 0;
        std::map<int, std::size_t> answers;
        /// Requests that were sent while the process was stopped.
        std::size_t sentWhileStopped = 0;
        /// Requests that were sent on closing connections without an answer, and those of them
        /// that no reset followed.
        std::size_t sentOnClosing = 0;
        std::size_t discarded = 0;
        /// A line for each request that was lost.
        std::vector<std::string> lost;
    };
    result results() const;

private:
    using time_point = std::chrono::steady_clock::time_point;
    struct caller;

    time_point timeOf(double inSeconds) const;
    double secondsOf(time_point inTime) const;
    void later(double inSeconds, std::function<void()> inAction);
    void schedule();
    void runDue();
    void poll();
    static bool mustWait(const caller &inCaller, const standins::caller_connection &inConnection);
    static standins::caller_connection *current(caller &ioCaller);
    void perform(caller &ioCaller, planned_send inSend);
    void transmit(caller &ioCaller, const planned_send &inSend);
    void continueWith(caller &ioCaller);
    std::string describe(const caller &inCaller, const standins::caller_connection &inConnection,
                         const standins::sent_request &inRequest) const;

    drain_plan mPlan;
    standins::child_process &mInstance;
    unsigned short mPort;
    request_maker mMaker;
    time_point mSigterm;
    std::multimap<time_point, std::function<void()>> mActions;
    std::vector<std::unique_ptr<caller>> mCallers;
    double mExitAt = 0;
};
