#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/exchange.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::kernel {
class event_loop;
}

namespace standins {

/// Switchable outage of one part of a stand-in: requests are refused by closing the connection,
/// hang without an answer, fail with 503, or are served late.
class outage
{
public:
    enum class mode { none, refuse, hang, slow, fail };
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    explicit outage(corneltally::kernel::event_loop &inLoop)
        : mLoop(inLoop)
    { }

    /// Returns false if the mode is unknown. Requests that hang are closed when the mode changes.
    bool set(std::string_view inMode, corneltally::core::duration inDelay);

    /// Serves a request, or does what the outage says instead.
    void guard(const exchange_pointer &inExchange, std::function<void()> inServe);

    mode current() const { return mMode; }

private:
    corneltally::kernel::event_loop &mLoop;
    mode mMode = mode::none;
    corneltally::core::duration mDelay{};
    std::vector<exchange_pointer> mHanging;
};

/// Runs a task once after a delay.
void runLater(corneltally::kernel::event_loop &inLoop, corneltally::core::duration inDelay,
              std::function<void()> inTask);

} // namespace standins
