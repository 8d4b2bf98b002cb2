#include "corneltally/kernel/event_loop.h"

#include <cassert>
#include <csignal>
#include <iterator>
#include <utility>

#include <event2/event.h>

namespace corneltally::kernel {

namespace {

constexpr timeval cTickPeriod{.tv_sec = 0, .tv_usec = 100'000};
/// The tick has priority 0, so that a pause is detected before the sockets that became ready during
/// it are served. All other events have libevent's default, the middle priority.
constexpr int cPriorities = 2;

} // namespace

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
    event_base_priority_init(mBase, cPriorities);
    // A write to a connection that the peer has closed must not end the process by SIGPIPE.
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
    // Objects captured by posted tasks may own events of the base, so destroy them before the base.
    // Their destructors may post more tasks.
    while (!mPosted.empty()) {
        std::vector<std::function<void()>> dropped;
        dropped.swap(mPosted);
    }
    mSignals.clear();
    if (mTickEvent != nullptr)
        event_free(mTickEvent);
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
    // event_active() from inside a callback would run the task in the same iteration of the loop,
    // so that a chain of posts would starve sockets and timers.
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

void event_loop::watchPauses(core::duration inLimit,
                             std::function<void(core::duration inGap)> inHandler)
{
    assert(mTickEvent == nullptr);
    mPauseLimit = inLimit;
    mPauseHandler = std::move(inHandler);
    mLastTick = core::boot_clock::now();
    mTickEvent = event_new(
        mBase, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *inLoop) { static_cast<event_loop *>(inLoop)->tick(); },
        this);
    event_priority_set(mTickEvent, 0);
    event_add(mTickEvent, &cTickPeriod);
}

void event_loop::tick()
{
    const core::time_point now = core::boot_clock::now();
    const core::duration gap = now - mLastTick;
    mLastTick = now;
    if (gap <= mPauseLimit)
        return;
    // Tasks posted before the pause run after those that the handler posts.
    std::vector<std::function<void()>> earlier;
    earlier.swap(mPosted);
    mPauseHandler(gap);
    runPosted();
    earlier.insert(earlier.end(), std::make_move_iterator(mPosted.begin()),
                   std::make_move_iterator(mPosted.end()));
    mPosted.swap(earlier);
}

void event_loop::runPosted()
{
    // Tasks posted by these tasks run in the next iteration, so that sockets are served in between.
    std::vector<std::function<void()>> tasks;
    tasks.swap(mPosted);
    for (const std::function<void()> &task : tasks)
        task();
}

} // namespace corneltally::kernel
