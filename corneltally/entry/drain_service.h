#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::entry {

/// Shuts the process down: announces the drain, waits until the callers' requests are finished and
/// the endpoints are handed over, and stops the event loop.
class drain_service : public kernel::service
{
public:
    explicit drain_service(kernel::service_registry &inRegistry);

    std::string_view name() const override { return "drain"; }
    void start() override { }
    std::string dump() const override;

    /// Starts the drain; further calls have no effect.
    void begin();
    bool isDraining() const { return mStartedAt.has_value(); }

    /// Stops at once, because a newer process has this instance's name.
    void stopSuperseded();

private:
    void stopWhenDone();
    void handleTimeout();

    kernel::service_registry &mRegistry;
    kernel::timer mTimeoutTimer;
    std::optional<core::time_point> mStartedAt;
    std::optional<std::uint64_t> mFinishedRequests;
    std::optional<std::uint64_t> mHandedOverRuns;
};

} // namespace corneltally::entry
