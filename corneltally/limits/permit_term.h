#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>

namespace corneltally::limits {

/// Time within which a permit has to be used, on the boot clock of the requester. It starts when
/// the permit was asked for, which precedes the grant, however long the reply takes.
class permit_term
{
public:
    static constexpr core::duration sValidity = std::chrono::milliseconds(150);
    /// Time that the event loop may take to write a request after the term was checked.
    static constexpr core::duration sWriteMargin = std::chrono::milliseconds(10);

    explicit permit_term(core::time_point inAskedAt)
        : mAskedAt(inAskedAt)
    { }

    core::time_point askedAt() const { return mAskedAt; }
    core::time_point end() const { return mAskedAt + sValidity - sWriteMargin; }
    bool mayUse(core::time_point inNow) const { return inNow < end(); }

    friend auto operator<=>(const permit_term &, const permit_term &) = default;

private:
    core::time_point mAskedAt;
};

} // namespace corneltally::limits
