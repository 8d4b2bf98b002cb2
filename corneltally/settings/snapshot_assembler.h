#pragma once

#include "corneltally/settings/snapshot_part.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace corneltally::settings {

/// Reassembles snapshots from their parts.
class snapshot_assembler
{
public:
    struct snapshot
    {
        std::uint64_t offset = 0;
        std::string tree;
    };

    /// Adds a part. Returns the snapshot if it is now complete and its digest matches.
    std::optional<snapshot> add(snapshot_part inPart);

    /// Drops the parts of snapshots up to and including an offset.
    void dropThrough(std::uint64_t inOffset);

private:
    /// Parts by offset and digest of the snapshot, then by part index.
    std::map<std::pair<std::uint64_t, std::string>, std::map<std::size_t, std::string>> mIncomplete;
};

} // namespace corneltally::settings
