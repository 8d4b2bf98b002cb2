#include "corneltally/kernel/event_loop.h"

#include <cassert>
#include <csignal>
#include <utility>

#include <event2/event.h>

namespace corneltally::kernel {

struct event_loop::signal_watch
{
    std::function<void()> handler;
    event *watch = nullptr;

    ~signal_watch()
    {
        if (watch != nullptr)
            event_free(watch);
    }
};

event_loop::event_loop()
    : mBase(event_base_new())
{
    assert(mBase != nullptr);
    // A peer that closes its connection must not end the process by SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    mWakeEvent = evtimer_new(
        mBase,
        [](evutil_socket_t, short, void *inLoop) {
            static_cast<event_loop *>(inLoop)->runPosted();
        },
        this);
}

event_loop::~event_loop()
{
    mSignals.clear();
    event_free(mWakeEvent);
    event_base_free(mBase);
}

void event_loop::run()
{
    event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(mBase);
}

void event_loop::post(std::function<void()> inTask)
{
    mPosted.push_back(std::move(inTask));
    // event_active() from inside a callback would run the task in the same round, so that a chain
    // of posts would keep sockets and timers from being served.
    const timeval immediately{};
    if (evtimer_pending(mWakeEvent, nullptr) == 0)
        evtimer_add(mWakeEvent, &immediately);
}

void event_loop::onSignal(int inSignal, std::function<void()> inHandler)
{
    auto entry = std::make_unique<signal_watch>();
    entry->handler = std::move(inHandler);
    entry->watch = evsignal_new(
        mBase, inSignal,
        [](evutil_socket_t, short, void *inWatch) {
            static_cast<signal_watch *>(inWatch)->handler();
        },
        entry.get());
    evsignal_add(entry->watch, nullptr);
    mSignals.push_back(std::move(entry));
}

void event_loop::runPosted()
{
    // Tasks posted by these tasks run in the next round, so that sockets are served in between.
    std::vector<std::function<void()>> tasks;
    tasks.swap(mPosted);
    for (const std::function<void()> &task : tasks)
        task();
}

} // namespace corneltally::kernel
