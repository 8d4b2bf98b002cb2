#include "corneltally/orders/load_slowness.h"

#include <algorithm>

namespace corneltally::orders {

void load_slowness::record(const load_outcomes &inOutcomes)
{
    for (int load = 0; load < inOutcomes.timely; ++load)
        mFactor = std::max(1.0, mFactor - sFall);
    for (int load = 0; load < inOutcomes.late; ++load)
        mFactor = std::min(sMax, mFactor * sRise);
}

} // namespace corneltally::orders
