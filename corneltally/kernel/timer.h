#pragma once

#include "corneltally/core/boot_clock.h"

#include <functional>
#include <memory>

namespace corneltally::kernel {

class event_loop;

/// A one-shot or repeating timer. Its destructor cancels it and may run inside its own handler.
class timer
{
public:
    timer(event_loop &inLoop, std::function<void()> inHandler);
    ~timer();
    timer(timer &&) noexcept;
    timer &operator=(timer &&) noexcept;

    void startOnce(core::duration inDelay);
    void startRepeating(core::duration inPeriod);
    void cancel();
    bool isPending() const;

private:
    struct state;
    std::shared_ptr<state> mState;
};

} // namespace corneltally::kernel
