#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// One part of a snapshot of the tree. Snapshots are split because log records and messages between
/// instances are limited in size. All instances write identical parts for the same offset, so parts
/// of different writers can be combined.
struct snapshot_part
{
    /// Offset of the last log record that the snapshot covers, whether or not this record changed
    /// the tree.
    std::uint64_t offset = 0;
    /// Position among the parts, from 0; "part" in the record.
    std::size_t index = 0;
    /// Number of parts of the snapshot; "parts" in the record.
    std::size_t count = 1;
    /// SHA-256 of the whole tree's canonical JSON.
    std::string digest;
    std::string data;

    /// Splits the tree at an offset into parts.
    static std::vector<snapshot_part> sSplit(std::uint64_t inOffset, std::string_view inTree);

    /// Whether a log record is a snapshot part rather than a change.
    static bool sIsSnapshot(std::string_view inRecord);

    /// Parses the output of toRecord(). Returns nullopt for any other record, for example a change
    /// or cSnapshotPlaceholder. Does not check the digest, which covers all parts together.
    static std::optional<snapshot_part> sFromRecord(std::string_view inRecord);

    std::string toRecord() const;
};

/// Maximum bytes of the tree in one part. With JSON escapes a record stays well below the limit of
/// 1 MiB.
constexpr std::size_t cSnapshotPartBytes = 192 * 1024;

/// Replaces a snapshot record in the history and in records relayed between instances: readers
/// without a gap need only its offset.
constexpr std::string_view cSnapshotPlaceholder = R"({"snapshot":null})";

} // namespace corneltally::settings
