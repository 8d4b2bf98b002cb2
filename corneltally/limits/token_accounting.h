#pragma once

#include <cstdint>
#include <map>

namespace corneltally::limits {

/// Tracks charges whose final cost is not known yet, and how much of each can still be refunded.
///
/// A refund must not leave the bucket fuller than if only the used tokens had been charged in the
/// first place. Tokens that the bucket would have lost at its burst limit in between are not
/// refunded. Otherwise an account could spend its burst, wait for the refill, get the refund on
/// top, and exceed rate x window + burst.
class token_accounting
{
public:
    using charge_id = std::uint64_t;

    /// Records a charge that was just taken from the bucket.
    charge_id open(double inAmount);

    /// Records the free capacity (burst - tokens) of the bucket; to be called after each refill and
    /// each change of tokens or limits.
    void observeFreeCapacity(double inFreeCapacity);

    /// Ends a charge and returns the refund: how much of the unused part goes back to the bucket.
    double close(charge_id inCharge, double inUnused);

    bool contains(charge_id inCharge) const { return mCharges.contains(inCharge); }
    std::size_t size() const { return mCharges.size(); }

private:
    struct charge
    {
        double amount = 0;
        /// Least free capacity since the charge; never less than that of an older charge.
        double minFreeCapacity = 0;
    };

    charge_id mNext = 1;
    std::map<charge_id, charge> mCharges;
};

} // namespace corneltally::limits
