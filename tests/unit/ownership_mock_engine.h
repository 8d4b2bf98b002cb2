#pragma once

#include "corneltally/endpoint/engine_protocol.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace corneltally::tests {

/// An endpoint that is shared by the connections of several owners. Counts unloads of adapters in
/// use.
struct mock_endpoint
{
    struct stream
    {
        std::string adapter;
        std::uint64_t parts = 0;
        std::uint64_t total = 4;
        bool running = true;
    };

    bool checksFence = true;
    std::uint64_t highest = 0;
    std::size_t slots = 2;
    std::set<std::string> resident;
    std::map<std::string, stream> streams;
    std::map<std::string, int> starts;
    int unloadsInUse = 0;
    int staleRefusals = 0;

    bool acceptsFence(std::uint64_t inFence)
    {
        if (!checksFence)
            return true;
        if (inFence < highest) {
            ++staleRefusals;
            return false;
        }
        highest = inFence;
        return true;
    }

    int runningCount(const std::string &inAdapter) const
    {
        return static_cast<int>(std::ranges::count_if(streams, [&](const auto &inEntry) {
            return inEntry.second.running && inEntry.second.adapter == inAdapter;
        }));
    }
};

/// An owner's connection to the endpoint, on a virtual clock. Calls take effect and are answered
/// when the test delivers them.
class mock_engine
{
public:
    struct call
    {
        std::uint64_t id = 0;
        std::string kind;
        std::string subject;
        std::uint64_t fence = 0;
        /// Applies the call at the endpoint and returns a function that delivers the answer.
        std::function<std::function<void()>()> perform;
        std::function<void()> fail;
    };

    mock_engine(mock_endpoint &inEndpoint, std::function<core::time_point()> inNow)
        : mEndpoint(inEndpoint)
        , mNow(std::move(inNow))
    { }

    /// Calls that have not reached the endpoint.
    std::vector<call> calls;
    std::vector<std::string> cancelled;
    std::vector<endpoint::engine_run> runs;
    std::map<std::string, endpoint::engine_run_events> open;
    core::duration reportAge{};

    std::uint64_t run(const endpoint::engine_run &inRun,
                      const endpoint::engine_run_events &inEvents)
    {
        runs.push_back(inRun);
        const std::uint64_t id = mNextId++;
        const std::string adapter = adapterOf(inRun.body);
        add({id, "run", inRun.requestId, inRun.fence,
             [this, inRun, adapter, inEvents]() -> std::function<void()> {
                 if (!mEndpoint.acceptsFence(inRun.fence))
                     return refusal(inEvents, endpoint::engine_outcome::stale_fence);
                 if (!mEndpoint.resident.contains(adapter))
                     return refusal(inEvents, endpoint::engine_outcome::not_resident);
                 ++mEndpoint.starts[inRun.requestId];
                 mEndpoint.streams[inRun.requestId] = {adapter, 0, 4, true};
                 return [this, inRun, inEvents] {
                     open[inRun.requestId] = inEvents;
                     inEvents.onHead(200, "text/event-stream");
                 };
             },
             [inEvents] {
                 inEvents.onEnd({endpoint::engine_outcome::unknown, 0, "lost"});
             }});
        return id;
    }

    std::uint64_t resume(const endpoint::engine_run &inRun, std::uint64_t inFrom,
                         const endpoint::engine_run_events &inEvents)
    {
        const std::uint64_t id = mNextId++;
        add({id, "resume", inRun.requestId, inFrom,
             [this, inRun, inEvents]() -> std::function<void()> {
                 if (!mEndpoint.streams.contains(inRun.requestId))
                     return [inEvents] {
                         inEvents.onEnd(
                             {endpoint::engine_outcome::unknown_stream, 0, "unknown_stream"});
                     };
                 return [this, inRun, inEvents] {
                     open[inRun.requestId] = inEvents;
                     inEvents.onHead(200, "text/event-stream");
                 };
             },
             [inEvents] {
                 inEvents.onEnd({endpoint::engine_outcome::unknown, 0, "lost"});
             }});
        return id;
    }

    void cancelCall(std::uint64_t inCall)
    {
        // The connection is closed, but the request may still arrive at the endpoint.
        for (call &entry : calls) {
            if (entry.id == inCall)
                entry.fail = [] {};
        }
        mClosed.insert(inCall);
    }

    void cancelStream(const std::string &inRequestId)
    {
        cancelled.push_back(inRequestId);
        add({mNextId++, "cancel", inRequestId, 0,
             [this, inRequestId]() -> std::function<void()> {
                 const auto found = mEndpoint.streams.find(inRequestId);
                 if (found != mEndpoint.streams.end())
                     found->second.running = false;
                 return [] {};
             },
             [] {}});
    }

    void load(const std::string &inAdapter, const std::string &inVersion, std::uint64_t inFence,
              const std::function<void(const endpoint::engine_command_result &)> &inHandler)
    {
        command("load", inAdapter + "@" + inVersion, inFence, inHandler);
    }

    void unload(const std::string &inAdapter, const std::string &inVersion, std::uint64_t inFence,
                const std::function<void(const endpoint::engine_command_result &)> &inHandler)
    {
        command("unload", inAdapter + "@" + inVersion, inFence, inHandler);
    }

    void readFence(const std::function<void(const endpoint::engine_fence_result &)> &inHandler)
    {
        add({mNextId++, "read_fence", "", 0,
             [this, inHandler]() -> std::function<void()> {
                 const std::uint64_t highest = mEndpoint.highest;
                 return [highest, inHandler] {
                     inHandler({endpoint::engine_outcome::completed, highest, ""});
                 };
             },
             [inHandler] {
                 inHandler({endpoint::engine_outcome::unknown, 0, "lost"});
             }});
    }

    void registerFence(std::uint64_t inFence,
                       const std::function<void(const endpoint::engine_fence_result &)> &inHandler)
    {
        add({mNextId++, "register_fence", "", inFence,
             [this, inFence, inHandler]() -> std::function<void()> {
                 const bool accepted = mEndpoint.acceptsFence(inFence);
                 return [accepted, inFence, inHandler] {
                     inHandler({accepted ? endpoint::engine_outcome::completed
                                         : endpoint::engine_outcome::stale_fence,
                                inFence, ""});
                 };
             },
             [inHandler] {
                 inHandler({endpoint::engine_outcome::unknown, 0, "lost"});
             }});
    }

    void readState(const std::function<void(const endpoint::engine_state &)> &inHandler)
    {
        const core::time_point askedAt = mNow();
        add({mNextId++, "state", "", 0,
             [this, askedAt, inHandler]() -> std::function<void()> {
                 endpoint::engine_state state;
                 state.outcome = endpoint::engine_outcome::completed;
                 state.fence = mEndpoint.highest;
                 state.describedAt = askedAt - reportAge;
                 for (const std::string &name : mEndpoint.resident) {
                     const std::size_t at = name.find('@');
                     state.resident.push_back(
                         {name.substr(0, at), name.substr(at + 1), mEndpoint.runningCount(name)});
                 }
                 return [state, inHandler] { inHandler(state); };
             },
             [inHandler] { inHandler({.reason = "lost"}); }});
    }

    /// Delivers a call and answers it.
    void deliver(std::size_t inIndex)
    {
        call entry = take(inIndex);
        const auto reply = entry.perform();
        if (!mClosed.contains(entry.id))
            reply();
    }

    /// Applies a call and loses its answer.
    void loseAnswer(std::size_t inIndex)
    {
        call entry = take(inIndex);
        entry.perform();
        entry.fail();
    }

    /// Fails a call for the owner and returns it; the request is in flight and may still be
    /// applied.
    call interrupt(std::size_t inIndex)
    {
        call entry = take(inIndex);
        if (!mClosed.contains(entry.id))
            entry.fail();
        return entry;
    }

    /// Delivers calls until none is left.
    void deliverAll()
    {
        while (!calls.empty())
            deliver(0);
    }

    bool deliverKind(const std::string &inKind)
    {
        for (std::size_t index = 0; index < calls.size(); ++index) {
            if (calls[index].kind == inKind) {
                deliver(index);
                return true;
            }
        }
        return false;
    }

    bool has(const std::string &inKind) const
    {
        return std::ranges::any_of(calls,
                                   [&](const call &inCall) { return inCall.kind == inKind; });
    }

    /// Sends the next part of a stream or its end.
    void advance(const std::string &inRequestId, bool inFinish)
    {
        mock_endpoint::stream &stream = mEndpoint.streams.at(inRequestId);
        const auto found = open.find(inRequestId);
        if (!inFinish) {
            ++stream.parts;
            if (found != open.end())
                found->second.onChunk(stream.parts - 1, "part");
            return;
        }
        stream.running = false;
        if (found == open.end())
            return;
        const endpoint::engine_run_events events = found->second;
        open.erase(found);
        events.onEnd({endpoint::engine_outcome::completed, static_cast<double>(stream.parts), ""});
    }

    /// Interrupts the connection of a running stream; the stream continues at the endpoint.
    void breakConnection(const std::string &inRequestId)
    {
        const auto node = open.extract(inRequestId);
        if (!node.empty())
            node.mapped().onEnd({endpoint::engine_outcome::unknown, 0, "interrupted"});
    }

private:
    static std::string adapterOf(const std::string &inBody) { return inBody; }

    static std::function<void()> refusal(const endpoint::engine_run_events &inEvents,
                                         endpoint::engine_outcome inOutcome)
    {
        return [inEvents, inOutcome] { inEvents.onEnd({inOutcome, 0, "refused"}); };
    }

    void command(const std::string &inKind, const std::string &inAdapter, std::uint64_t inFence,
                 const std::function<void(const endpoint::engine_command_result &)> &inHandler)
    {
        add({mNextId++, inKind, inAdapter, inFence,
             [this, inKind, inAdapter, inFence, inHandler]() -> std::function<void()> {
                 endpoint::engine_outcome outcome = endpoint::engine_outcome::completed;
                 if (!mEndpoint.acceptsFence(inFence))
                     outcome = endpoint::engine_outcome::stale_fence;
                 else if (inKind == "load" && mEndpoint.resident.size() >= mEndpoint.slots)
                     outcome = endpoint::engine_outcome::refused;
                 else if (inKind == "load")
                     mEndpoint.resident.insert(inAdapter);
                 else if (!mEndpoint.resident.contains(inAdapter))
                     outcome = endpoint::engine_outcome::not_resident;
                 else
                     unloadNow(inAdapter);
                 return [outcome, inHandler] { inHandler({outcome, ""}); };
             },
             [inHandler] {
                 inHandler({endpoint::engine_outcome::unknown, "lost"});
             }});
    }

    void unloadNow(const std::string &inAdapter)
    {
        mEndpoint.unloadsInUse += mEndpoint.runningCount(inAdapter) > 0 ? 1 : 0;
        mEndpoint.resident.erase(inAdapter);
    }

    void add(call inCall) { calls.push_back(std::move(inCall)); }

    call take(std::size_t inIndex)
    {
        call entry = std::move(calls[inIndex]);
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(inIndex));
        return entry;
    }

    mock_endpoint &mEndpoint;
    std::function<core::time_point()> mNow;
    std::uint64_t mNextId = 1;
    std::set<std::uint64_t> mClosed;
};

static_assert(endpoint::engine_protocol<mock_engine>);

} // namespace corneltally::tests
