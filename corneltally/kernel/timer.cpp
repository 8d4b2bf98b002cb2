#include "corneltally/kernel/timer.h"

#include "corneltally/kernel/event_loop.h"

#include <utility>

#include <event2/event.h>

namespace corneltally::kernel {

namespace {

timeval toTimeval(core::duration inDuration)
{
    const auto count = inDuration.count() < 0 ? 0 : inDuration.count();
    return timeval{.tv_sec = count / 1'000'000, .tv_usec = count % 1'000'000};
}

} // namespace

struct timer::state
{
    std::function<void()> handler;
    event *timerEvent = nullptr;
    core::duration period{};
    std::shared_ptr<state> self;

    ~state()
    {
        if (timerEvent != nullptr)
            event_free(timerEvent);
    }

    static void sFire(evutil_socket_t, short, void *inState)
    {
        // The handler may destroy the timer; this copy keeps the state alive until it returns.
        const std::shared_ptr<state> keepAlive = static_cast<state *>(inState)->self;
        if (keepAlive->period.count() > 0) {
            const timeval delay = toTimeval(keepAlive->period);
            event_add(keepAlive->timerEvent, &delay);
        }
        keepAlive->handler();
    }
};

timer::timer(event_loop &inLoop, std::function<void()> inHandler)
    : mState(std::make_shared<state>())
{
    mState->handler = std::move(inHandler);
    mState->self = mState;
    mState->timerEvent = evtimer_new(inLoop.base(), &state::sFire, mState.get());
}

timer::~timer()
{
    if (mState) {
        cancel();
        mState->self.reset();
    }
}

timer::timer(timer &&) noexcept = default;

timer &timer::operator=(timer &&inOther) noexcept
{
    std::swap(mState, inOther.mState);
    return *this;
}

void timer::startOnce(core::duration inDelay)
{
    mState->period = {};
    const timeval delay = toTimeval(inDelay);
    event_add(mState->timerEvent, &delay);
}

void timer::startRepeating(core::duration inPeriod)
{
    mState->period = inPeriod;
    const timeval delay = toTimeval(inPeriod);
    event_add(mState->timerEvent, &delay);
}

void timer::cancel()
{
    mState->period = {};
    event_del(mState->timerEvent);
}

bool timer::isPending() const
{
    return evtimer_pending(mState->timerEvent, nullptr) != 0;
}

} // namespace corneltally::kernel
