#include "corneltally/limits/token_accounting.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace corneltally::limits {

token_accounting::charge_id token_accounting::open(double inAmount)
{
    const charge_id id = mNext++;
    mCharges.emplace_hint(
        mCharges.end(), id,
        charge{.amount = inAmount, .minFreeCapacity = std::numeric_limits<double>::infinity()});
    return id;
}

void token_accounting::observeFreeCapacity(double inFreeCapacity)
{
    const double freeCapacity = std::max(0.0, inFreeCapacity);
    for (auto item = mCharges.rbegin(); item != mCharges.rend(); ++item) {
        if (item->second.minFreeCapacity <= freeCapacity)
            break;
        item->second.minFreeCapacity = freeCapacity;
    }
}

double token_accounting::close(charge_id inCharge, double inUnused)
{
    const auto found = mCharges.find(inCharge);
    if (found == mCharges.end())
        return 0;
    const double unused = std::clamp(inUnused, 0.0, found->second.amount);
    const double refund = std::min(unused, found->second.minFreeCapacity);
    // If the refund had never been charged, the free capacity since this charge would have been
    // smaller by the refund. The charges still open must not use that capacity again.
    for (auto item = std::next(found); item != mCharges.end(); ++item)
        item->second.minFreeCapacity -= refund;
    const double freeCapacity = found->second.minFreeCapacity - refund;
    for (auto item = std::make_reverse_iterator(found); item != mCharges.rend(); ++item) {
        if (item->second.minFreeCapacity <= freeCapacity)
            break;
        item->second.minFreeCapacity = freeCapacity;
    }
    mCharges.erase(found);
    return refund;
}

} // namespace corneltally::limits
