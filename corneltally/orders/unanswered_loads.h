#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::orders {

/// Loads that an engine has not answered. Each can still be carried out as long as the engine may
/// have accepted no more orders than the load names, so that its adapter needs a place until then.
class unanswered_loads
{
public:
    /// A load that names inOrders accepted orders got no answer.
    void add(std::string_view inKey, std::uint64_t inOrders);

    /// The engine is known to have accepted at least so many orders.
    void confirm(std::uint64_t inOrders);

    /// Forgets all loads, after a new start of the engine.
    void clear();

    /// Adapters whose load may be carried out in addition to an order that names inOrders. Of two
    /// orders that name the same number, an engine accepts only one.
    std::vector<std::string> possibleBeside(std::uint64_t inOrders) const;

private:
    /// Largest number that an unanswered load of an adapter names, by adapter.
    std::map<std::string, std::uint64_t, std::less<>> mLoads;
};

} // namespace corneltally::orders
