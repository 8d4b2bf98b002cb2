#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/fleet/fleet_messages.h"

#include <cstdint>
#include <functional>
#include <map>

namespace corneltally::forwarding {

/// Requests for permits that await their reply. A reply to another one is ignored.
class permit_requests
{
public:
    using handler = std::function<void(const fleet::permit_reply &)>;

    /// Returns the number that identifies the request for a permit.
    std::uint64_t add(handler inHandler);
    void remove(std::uint64_t inNumber) { mPending.erase(inNumber); }
    void replied(const fleet::permit_reply &inReply);

private:
    std::map<std::uint64_t, handler> mPending;
    /// Differs after a restart, since late replies to the former process reach this one.
    std::uint64_t mNext
        = static_cast<std::uint64_t>(core::boot_clock::now().time_since_epoch().count());
};

} // namespace corneltally::forwarding
