#include "corneltally/limits/retry_budget.h"

#include <algorithm>

namespace corneltally::limits {

core::duration retryDelay(int inAttempt, core::duration inBase, core::duration inLimit,
                          double inUniform)
{
    core::duration bound = std::min(inBase, inLimit);
    for (int step = 0; step < inAttempt && bound < inLimit; ++step)
        bound = std::min(bound * 2, inLimit);
    return core::duration(
        static_cast<core::duration::rep>(static_cast<double>(bound.count()) * inUniform));
}

} // namespace corneltally::limits
