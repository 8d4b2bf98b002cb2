#pragma once

#include "corneltally/settings/snapshot_part.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace corneltally::settings {

/// Collects the parts of snapshots until one is complete.
class snapshot_assembler
{
public:
    struct snapshot
    {
        std::uint64_t offset = 0;
        std::string tree;
    };

    /// Adds a part; returns the snapshot if it is now complete and its digest is correct.
    std::optional<snapshot> add(snapshot_part inPart);

    /// Drops parts of snapshots up to an offset.
    void dropThrough(std::uint64_t inOffset);

private:
    /// By offset and digest; the inner map by part index.
    std::map<std::pair<std::uint64_t, std::string>, std::map<std::size_t, std::string>> mSets;
};

} // namespace corneltally::settings
