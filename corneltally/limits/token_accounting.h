#pragma once

#include <cstdint>
#include <map>

namespace corneltally::limits {

/// Charges whose final cost is not known yet, and how much of each can still be given back.
///
/// A refund must leave the bucket no fuller than if only the used tokens had been charged at
/// first. Tokens that the bucket would have lost at its burst limit in between are not given back:
/// otherwise an account could spend its burst, wait for the refill, get the refund on top, and
/// exceed rate x window + burst.
class token_accounting
{
public:
    using charge_id = std::uint64_t;

    /// Records a charge that was just taken from the bucket.
    charge_id open(double inAmount);

    /// Records the free room (burst - content) of the bucket; call it after each refill and each
    /// change of content or limits.
    void observeFreeCapacity(double inFreeCapacity);

    /// Ends a charge and returns how much of the unused part goes back to the bucket.
    double close(charge_id inCharge, double inUnused);

    bool contains(charge_id inCharge) const { return mCharges.contains(inCharge); }
    std::size_t size() const { return mCharges.size(); }

private:
    struct charge
    {
        double amount = 0;
        /// Least room since the charge; never less than that of an older charge.
        double minFreeCapacity = 0;
    };

    charge_id mNext = 1;
    std::map<charge_id, charge> mCharges;
};

} // namespace corneltally::limits
