#pragma once

#include <chrono>
#include <ctime>

namespace corneltally::core {

/// Monotonic clock that also counts while the machine is suspended, so that a lease that expired
/// during a suspension is treated as expired.
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

} // namespace corneltally::core
