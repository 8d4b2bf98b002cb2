#pragma once

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
    std::uint64_t mNext = 1;
};

} // namespace corneltally::forwarding
