#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace corneltally::store {

/// Place of a record in a topic. A store that is restored from an older copy begins a new era and
/// gives offsets out again, so that offsets compare within an era only, and each position of a
/// later era follows all of an earlier one. A store that does not tell its era has era 0.
class position
{
public:
    position() = default;
    position(std::uint64_t inEra, std::uint64_t inOffset)
        : mEra(inEra)
        , mOffset(inOffset)
    { }

    std::uint64_t era() const { return mEra; }
    std::uint64_t offset() const { return mOffset; }

    position next() const { return {mEra, mOffset + 1}; }
    /// Must not be called for the first position of an era.
    position previous() const { return {mEra, mOffset - 1}; }

    /// Era and offset, as in "2:15".
    std::string toString() const { return std::to_string(mEra) + ":" + std::to_string(mOffset); }

    friend auto operator<=>(const position &, const position &) = default;

private:
    std::uint64_t mEra = 0;
    std::uint64_t mOffset = 0;
};

} // namespace corneltally::store
