#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// One part of a snapshot of the tree. A snapshot is split because log records and messages between
/// instances are limited in size. All instances write the same parts for the same offset, so parts
/// of different writers can be combined.
struct snapshot_part
{
    /// Last log record that the snapshot covers; it is valid up to this record, whether or not this
    /// record changed the tree.
    std::uint64_t offset = 0;
    std::size_t index = 0;
    std::size_t count = 1;
    /// SHA-256 of the whole tree's canonical JSON.
    std::string digest;
    std::string data;

    /// The parts of a tree at an offset.
    static std::vector<snapshot_part> sSplit(std::uint64_t inOffset, std::string_view inTree);

    /// Whether a log record is a snapshot part rather than a change.
    static bool sIsSnapshot(std::string_view inRecord);

    /// Reads what toRecord() wrote; empty if it is malformed.
    static std::optional<snapshot_part> sFromRecord(std::string_view inRecord);

    std::string toRecord() const;
};

/// Bytes of the tree in one part. With JSON escapes a record stays well below the limit of 1 MiB.
constexpr std::size_t cSnapshotPartBytes = 192 * 1024;

/// Takes the place of a snapshot record in what instances pass on: readers without a gap need its
/// offset only.
constexpr std::string_view cSnapshotPlaceholder = R"({"snapshot":null})";

} // namespace corneltally::settings
