#include "corneltally/forwarding/permit_requests.h"

#include <utility>

namespace corneltally::forwarding {

std::uint64_t permit_requests::add(handler inHandler)
{
    mPending.emplace(mNext, std::move(inHandler));
    return mNext++;
}

void permit_requests::replied(const fleet::permit_reply &inReply)
{
    const auto found = mPending.find(inReply.number);
    if (found == mPending.end())
        return;
    const handler called = std::move(found->second);
    mPending.erase(found);
    called(inReply);
}

} // namespace corneltally::forwarding
