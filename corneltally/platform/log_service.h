#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/error.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace corneltally::platform {

/// A record of a stream of the log.
struct log_record
{
    std::uint64_t offset = 0;
    /// Time of the log's wall clock when the record was appended, in milliseconds.
    std::int64_t timeMs = 0;
    std::string data;
};

/// Outcome of an append.
enum class append_outcome : std::uint8_t {
    appended,
    /// The record is certainly not on the log.
    refused,
    /// The answer was lost or unclear: the record may be on the log. Look it up by its id before
    /// sending it again.
    unknown,
};

struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    /// Offset of the record; valid if it was appended.
    std::uint64_t offset = 0;
    core::error reason;
};

/// Outcome of a read.
enum class read_outcome : std::uint8_t {
    records,
    /// The record at the requested offset is no longer retained; `first` is the oldest one.
    expired,
    failed,
};

struct read_result
{
    read_outcome outcome = read_outcome::failed;
    /// Offset of the oldest retained record.
    std::uint64_t first = 0;
    /// Offset that the next record of the log will get.
    std::uint64_t next = 0;
    std::vector<log_record> records;
    /// Time at which the read was sent. The result is complete at least up to this time, unless the
    /// read's limit cut it off.
    core::time_point sentAt;
    core::error reason;
};

/// Parameters of a read.
struct read_request
{
    std::string stream;
    std::uint64_t from = 0;
    int limit = 200;
    /// Longest time that the log waits for a first record before it answers.
    std::chrono::milliseconds wait{0};
};

using append_handler = std::function<void(const append_result &)>;
using read_handler = std::function<void(const read_result &)>;

/// Interface of an append-only log. Handlers are called from the event loop, never from inside
/// append() or read(), and never after cancelAll().
template <typename Log>
concept log_service = requires(Log &ioLog, std::string inText, read_request inRequest,
                               append_handler inAppended, read_handler inRead)
{
    {ioLog.append(inText, inText, inAppended)};
    {ioLog.read(inRequest, inRead)};
    {ioLog.cancelAll()};
};

} // namespace corneltally::platform
