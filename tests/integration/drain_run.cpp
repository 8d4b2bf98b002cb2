#include "tests/integration/drain_run.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

#include <poll.h>

using standins::caller_connection;
using standins::connection_end;
using standins::sent_request;
using steady = std::chrono::steady_clock;

namespace {

/// By this time after the grace period the process is gone, also when it was stopped at its end.
constexpr double cLatestExit = cDrainGraceSeconds + 2;
/// Longest wait for events, for checks of the process.
constexpr int cPollMs = 5;

const char *nameOf(send_form inForm)
{
    switch (inForm) {
    case send_form::whole:
        return "-whole";
    case send_form::pair:
        return "-pair";
    case send_form::parts:
        return "-parts";
    }
    return "";
}

steady::duration duration(double inSeconds)
{
    return std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(inSeconds));
}

} // namespace

struct drain_run::caller
{
    planned_caller plan;
    std::string name;
    int requests = 0;
    /// Sends that wait for an answer, or for the rest of a request.
    std::deque<planned_send> waiting;
    bool isWithinRequest = false;
    std::vector<std::unique_ptr<caller_connection>> connections;
};

drain_run::drain_run(drain_plan inPlan, standins::child_process &ioInstance, request_maker inMaker)
    : mPlan(std::move(inPlan))
    , mInstance(ioInstance)
    , mPort(ioInstance.port("callers"))
    , mMaker(std::move(inMaker))
{ }

drain_run::~drain_run() = default;

drain_run::time_point drain_run::timeOf(double inSeconds) const
{
    return mSigterm + duration(inSeconds);
}

double drain_run::secondsOf(time_point inTime) const
{
    return std::chrono::duration<double>(inTime - mSigterm).count();
}

void drain_run::later(double inSeconds, std::function<void()> inAction)
{
    mActions.emplace(steady::now() + duration(inSeconds), std::move(inAction));
}

void drain_run::schedule()
{
    const auto at = [this](double inSeconds, std::function<void()> inAction) {
        mActions.emplace(timeOf(inSeconds), std::move(inAction));
    };
    at(0, [this] { mInstance.signal(SIGTERM); });
    for (const double reload : mPlan.reloads)
        at(reload, [this] { mInstance.signal(SIGHUP); });
    for (const planned_stop &stop : mPlan.stops) {
        at(stop.at, [this] { mInstance.pause(); });
        at(stop.at + stop.length, [this] { mInstance.resume(); });
    }
    for (const planned_caller &planned : mPlan.callers) {
        auto added = std::make_unique<caller>();
        added->plan = planned;
        added->name = std::to_string(mPlan.seed) + "-" + std::to_string(mCallers.size());
        for (const planned_send &send : planned.sends)
            at(send.at, [this, target = added.get(), send] { perform(*target, send); });
        mCallers.push_back(std::move(added));
    }
}

void drain_run::play()
{
    mSigterm = steady::now() + duration(cDrainLeadSeconds);
    schedule();
    bool isRunning = true;
    while (isRunning && steady::now() < timeOf(cLatestExit)) {
        runDue();
        poll();
        isRunning = mInstance.isRunning();
    }
    mExitAt = secondsOf(steady::now());
    mActions.clear();
    for (const auto &entry : mCallers) {
        for (const auto &connection : entry->connections)
            connection->receive();
    }
}

void drain_run::runDue()
{
    while (!mActions.empty() && mActions.begin()->first <= steady::now()) {
        const std::function<void()> action = std::move(mActions.begin()->second);
        mActions.erase(mActions.begin());
        action();
    }
}

void drain_run::poll()
{
    std::vector<pollfd> wanted;
    std::vector<std::pair<caller *, caller_connection *>> owners;
    for (const auto &entry : mCallers) {
        for (const auto &connection : entry->connections) {
            if (connection->end() == connection_end::reset)
                continue;
            wanted.push_back(
                {.fd = connection->socket(), .events = connection->pollEvents(), .revents = 0});
            owners.emplace_back(entry.get(), connection.get());
        }
    }
    int wait = cPollMs;
    if (!mActions.empty() && mActions.begin()->first < steady::now() + duration(cPollMs / 1000.0))
        wait = 1;
    ::poll(wanted.data(), wanted.size(), wait);
    for (std::size_t index = 0; index < wanted.size(); ++index) {
        if (wanted[index].revents == 0)
            continue;
        owners[index].second->receive();
        continueWith(*owners[index].first);
    }
}

bool drain_run::mustWait(const caller &inCaller, const caller_connection &inConnection)
{
    // No answer is to be expected on a closing connection.
    return !inCaller.plan.pipelines && inConnection.awaitsAnswer() && !inConnection.isClosing();
}

/// The connection on which a caller sends next, if it has one that it may use.
caller_connection *drain_run::current(caller &ioCaller)
{
    if (ioCaller.connections.empty())
        return nullptr;
    caller_connection *last = ioCaller.connections.back().get();
    last->receive();
    const bool isUsable = last->end() != connection_end::reset
        && (!last->isClosing() || (ioCaller.plan.insists && !last->mustKeepQuiet()));
    return isUsable ? last : nullptr;
}

void drain_run::perform(caller &ioCaller, planned_send inSend)
{
    if (ioCaller.isWithinRequest) {
        ioCaller.waiting.push_back(inSend);
        return;
    }
    caller_connection *connection = current(ioCaller);
    if (connection == nullptr) {
        ioCaller.connections.push_back(std::make_unique<caller_connection>(mPort));
        connection = ioCaller.connections.back().get();
        if (inSend.openWait > 0) {
            later(std::exchange(inSend.openWait, 0),
                  [this, &ioCaller, inSend] { perform(ioCaller, inSend); });
            return;
        }
    }
    if (mustWait(ioCaller, *connection))
        ioCaller.waiting.push_back(inSend);
    else
        transmit(ioCaller, inSend);
}

void drain_run::transmit(caller &ioCaller, const planned_send &inSend)
{
    caller_connection &connection = *ioCaller.connections.back();
    const auto nextId = [&] {
        return ioCaller.name + "-" + std::to_string(++ioCaller.requests) + nameOf(inSend.form);
    };
    const std::string id = nextId();
    const std::string text = mMaker(inSend, id);
    if (inSend.form == send_form::whole) {
        connection.send(text, {id});
    } else if (inSend.form == send_form::pair) {
        const std::string second = nextId();
        connection.send(text + mMaker(inSend, second), {id, second});
    } else {
        connection.send(text.substr(0, text.size() / 2), {});
        ioCaller.isWithinRequest = true;
        later(inSend.gap, [this, &ioCaller, &connection, id, rest = text.substr(text.size() / 2)] {
            ioCaller.isWithinRequest = false;
            connection.receive();
            if (connection.end() != connection_end::reset && !connection.mustKeepQuiet())
                connection.send(rest, {id});
            continueWith(ioCaller);
        });
    }
}

/// Sends what has waited, if nothing is in its way any more.
void drain_run::continueWith(caller &ioCaller)
{
    if (ioCaller.waiting.empty() || ioCaller.isWithinRequest)
        return;
    const caller_connection *connection = current(ioCaller);
    if (connection != nullptr && mustWait(ioCaller, *connection))
        return;
    const planned_send next = ioCaller.waiting.front();
    ioCaller.waiting.pop_front();
    if (next.pause > 0)
        later(next.pause, [this, &ioCaller, next] { perform(ioCaller, next); });
    else
        perform(ioCaller, next);
}

std::string drain_run::describe(const caller &inCaller, const caller_connection &inConnection,
                                const sent_request &inRequest) const
{
    std::ostringstream text;
    text << "seed " << mPlan.seed << ": request " << inRequest.id << " sent at "
         << secondsOf(inRequest.sent) << " s, status " << inRequest.status << ", "
         << (inConnection.end() == connection_end::orderly ? "end" : "reset") << " seen at "
         << secondsOf(inConnection.endSeen()) << " s; "
         << (inCaller.plan.pipelines ? "pipelining" : "waiting") << " caller, "
         << inConnection.requests().size() << " requests on the connection";
    for (const planned_stop &stop : mPlan.stops) {
        if (inRequest.sent > timeOf(stop.at) && inRequest.sent < timeOf(stop.at + stop.length))
            text << ", stopped from " << stop.at << " to " << stop.at + stop.length << " s";
    }
    return text.str();
}

drain_run::result drain_run::results() const
{
    result found{.exitCode = mInstance.exitCode(), .exitAt = mExitAt};
    for (const auto &entry : mCallers) {
        for (const auto &connection : entry->connections) {
            const bool isReset = connection->end() == connection_end::reset;
            ++found.connections;
            found.resets += isReset ? 1 : 0;
            for (const sent_request &request : connection->requests()) {
                ++found.sent;
                if (request.answered)
                    ++found.answers[request.status];
                if (request.sentOnClosing && !request.answered) {
                    ++found.sentOnClosing;
                    found.discarded += isReset ? 0 : 1;
                }
                found.sentWhileStopped
                    += std::ranges::any_of(mPlan.stops, [&](const planned_stop &inStop) {
                           const double at = secondsOf(request.sent);
                           return at > inStop.at && at < inStop.at + inStop.length;
                       });
            }
            for (const sent_request &request : connection->lost())
                found.lost.push_back(describe(*entry, *connection, request));
        }
    }
    return found;
}
