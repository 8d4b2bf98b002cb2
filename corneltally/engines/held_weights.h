#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace corneltally::engines {

/// An adapter that is resident on an engine, or being loaded.
struct held_adapter
{
    std::string name;
    std::uint64_t version = 0;

    friend auto operator<=>(const held_adapter &, const held_adapter &) = default;
};

/// A base model on an engine with its adapters.
struct held_model
{
    std::string name;
    std::uint64_t version = 0;
    std::vector<held_adapter> adapters;

    friend auto operator<=>(const held_model &, const held_model &) = default;
};

} // namespace corneltally::engines
