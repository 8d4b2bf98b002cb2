#include "corneltally/http1/body_budget.h"

#include <utility>

namespace corneltally::http1 {

body_budget::reservation::reservation(reservation &&ioOther) noexcept
    : mBudget(std::move(ioOther.mBudget))
    , mBytes(std::exchange(ioOther.mBytes, 0))
{ }

body_budget::reservation &body_budget::reservation::operator=(reservation &&ioOther) noexcept
{
    if (this != &ioOther) {
        release();
        mBudget = std::move(ioOther.mBudget);
        mBytes = std::exchange(ioOther.mBytes, 0);
    }
    return *this;
}

bool body_budget::reservation::grow(std::uint64_t inBytes)
{
    if (mBudget) {
        const bool isLarge = mBytes + inBytes > sSmallBodyBytes;
        const auto limit = isLarge
            ? static_cast<std::uint64_t>(static_cast<double>(mBudget->mCapacity) * sLargeBodyShare)
            : mBudget->mCapacity;
        if (mBudget->mUsed + inBytes > limit) {
            ++mBudget->mRefused;
            return false;
        }
        mBudget->mUsed += inBytes;
    }
    mBytes += inBytes;
    return true;
}

void body_budget::reservation::release()
{
    if (mBudget)
        mBudget->mUsed -= mBytes;
    mBudget.reset();
    mBytes = 0;
}

body_budget::reservation body_budget::sReserve(const std::shared_ptr<body_budget> &inBudget)
{
    reservation empty;
    empty.mBudget = inBudget;
    return empty;
}

} // namespace corneltally::http1
