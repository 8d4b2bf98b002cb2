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
    /// Version to load; zero loads the newest one.
    std::uint64_t version = 0;
    /// The engine refuses the order unless it has accepted exactly this many orders.
    std::uint64_t expectedOrders = 0;
    /// Instance that gives the order, and the fencing number of its engine claim.
    std::string holder;
    std::uint64_t fence = 0;

    friend auto operator<=>(const engine_order &, const engine_order &) = default;
};

/// Outcome of an order.
enum class order_outcome {
    /// The engine carries it out.
    accepted,
    /// The engine is already in the requested state.
    holds,
    /// Another order is in progress, or the number of accepted orders differs.
    conflict,
    /// The fencing number is too low.
    fenced,
    /// Another engine answers at the address.
    other_engine,
    /// The engine refused for another reason; nothing changed.
    refused,
    /// No answer: the engine may still carry it out at any time.
    unknown,
};

} // namespace corneltally::engines
