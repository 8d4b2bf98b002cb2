#include "corneltally/orders/unanswered_loads.h"

#include <algorithm>

namespace corneltally::orders {

void unanswered_loads::add(std::string_view inKey, std::uint64_t inOrders)
{
    const auto found = mLoads.find(inKey);
    if (found == mLoads.end())
        mLoads.emplace(inKey, inOrders);
    else
        found->second = std::max(found->second, inOrders);
}

void unanswered_loads::confirm(std::uint64_t inOrders)
{
    std::erase_if(mLoads, [&](const auto &inEntry) { return inEntry.second < inOrders; });
}

void unanswered_loads::clear()
{
    mLoads.clear();
}

std::vector<std::string> unanswered_loads::possibleBeside(std::uint64_t inOrders) const
{
    std::vector<std::string> keys;
    for (const auto &[key, orders] : mLoads) {
        if (orders != inOrders)
            keys.push_back(key);
    }
    return keys;
}

} // namespace corneltally::orders
