#pragma once

#include "corneltally/core/boot_clock.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace corneltally::kernel {

/// The event loop of a process, on which all services run. Only one thread may use it.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Runs until stop() is called.
    void run();

    /// Ends run() after the current callback.
    void stop();

    /// Queues a task. It runs later from the loop, never inside this call.
    void post(std::function<void()> inTask);

    /// Calls a handler from the loop when the process receives a signal.
    void onSignal(int inSignal, std::function<void()> inHandler);

    /// Calls a handler after the loop did not run for longer than a limit, for example because the
    /// process was stopped. Messages that the handler posts are handled before all sockets, timers
    /// and messages that became ready during the pause. May be called once.
    void watchPauses(core::duration inLimit, std::function<void(core::duration inGap)> inHandler);

    event_base *base() const { return mBase; }

private:
    struct signal_watch;

    void runPosted();
    void tick();

    event_base *mBase;
    event *mWakeEvent;
    std::vector<std::function<void()>> mPosted;
    std::vector<std::unique_ptr<signal_watch>> mSignals;
    event *mTickEvent = nullptr;
    core::time_point mLastTick;
    core::duration mPauseLimit{};
    std::function<void(core::duration)> mPauseHandler;
};

} // namespace corneltally::kernel
