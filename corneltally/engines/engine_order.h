#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace corneltally::engines {

/// An order to load or unload a base model or an adapter of one.
struct engine_order
{
    enum class operation { load, unload };

    operation kind = operation::load;
    std::string model;
    /// Empty for the base model itself.
    std::string adapter;
    /// Version to load; the newest one if zero.
    std::uint64_t version = 0;
    /// The engine refuses the order unless it has accepted this many.
    std::uint64_t expectedOrders = 0;
    /// Who orders, and the fencing number of its claim.
    std::string holder;
    std::uint64_t fence = 0;

    friend auto operator<=>(const engine_order &, const engine_order &) = default;
};

/// What became of an order.
enum class order_outcome {
    /// It is being carried out.
    accepted,
    /// What it asks for holds already.
    holds,
    /// Another order is under way, or the engine has accepted another number of orders.
    conflict,
    /// The fencing number is too low.
    fenced,
    /// Another engine has the address.
    other_engine,
    /// The engine refused for another reason; nothing was done.
    refused,
    /// No answer: it may be carried out at any time.
    unknown,
};

} // namespace corneltally::engines
