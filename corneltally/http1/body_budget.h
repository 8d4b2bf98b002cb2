#pragma once

#include <cstdint>
#include <memory>

namespace corneltally::http1 {

/// Limits the bytes that the bodies of all requests of an instance take together.
class body_budget
{
public:
    /// Larger bodies leave this part of the budget to the others, so that uploads don't displace
    /// ordinary requests.
    static constexpr std::uint64_t sSmallBodyBytes = 64 * 1024;
    static constexpr double sLargeBodyShare = 0.75;

    /// Part of the budget that one body takes. It is released when this object is destroyed, which
    /// may be after the budget.
    class reservation
    {
    public:
        reservation() = default;
        ~reservation() { release(); }
        reservation(reservation &&ioOther) noexcept;
        reservation &operator=(reservation &&ioOther) noexcept;

        /// Takes more bytes. Returns false and takes nothing if the budget does not have them.
        bool grow(std::uint64_t inBytes);
        std::uint64_t bytes() const { return mBytes; }

    private:
        friend class body_budget;

        void release();

        /// Null without a budget.
        std::shared_ptr<body_budget> mBudget;
        std::uint64_t mBytes = 0;
    };

    explicit body_budget(std::uint64_t inCapacity)
        : mCapacity(inCapacity)
    { }

    /// An empty part of a budget; without one, it grows without a limit.
    static reservation sReserve(const std::shared_ptr<body_budget> &inBudget);

    std::uint64_t used() const { return mUsed; }
    /// Number of bodies that found no place.
    std::uint64_t refused() const { return mRefused; }

private:
    std::uint64_t mCapacity;
    std::uint64_t mUsed = 0;
    std::uint64_t mRefused = 0;
};

} // namespace corneltally::http1
