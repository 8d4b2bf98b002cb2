#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/error.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace corneltally::platform {

/// A record of a log stream.
struct log_record
{
    std::uint64_t offset = 0;
    /// Wall clock of the log in milliseconds.
    std::int64_t timeMs = 0;
    std::string data;
};

/// How an append ended.
enum class append_outcome : std::uint8_t {
    appended,
    /// Certain: the record is not on the log.
    refused,
    /// The answer was lost: the record may be on the log. It has to be looked up by its id before
    /// it is sent again.
    unknown,
};

struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    /// Valid if the record was appended.
    std::uint64_t offset = 0;
    core::error reason;
};

/// How a read ended.
enum class read_outcome : std::uint8_t {
    records,
    /// Records from the requested offset on are not kept any more; `first` is the oldest one.
    expired,
    failed,
};

struct read_result
{
    read_outcome outcome = read_outcome::failed;
    /// Oldest retained offset.
    std::uint64_t first = 0;
    /// Offset that the next record of the log will get.
    std::uint64_t next = 0;
    std::vector<log_record> records;
    /// When the read was sent: the log had no further records at that time at least.
    core::time_point sentAt;
    core::error reason;
};

/// What a read asks for.
struct read_request
{
    std::string stream;
    std::uint64_t from = 0;
    int limit = 200;
    /// How long the log may wait for a first record.
    std::chrono::milliseconds wait{0};
};

using append_handler = std::function<void(const append_result &)>;
using read_handler = std::function<void(const read_result &)>;

/// An append-only log as services use it. Handlers are called from the loop, never from inside the
/// call, and not after cancelAll().
template <typename Log>
concept log_service = requires(Log &ioLog, std::string inText, read_request inRequest,
                               append_handler inAppended, read_handler inRead)
{
    {ioLog.append(inText, inText, inAppended)};
    {ioLog.read(inRequest, inRead)};
    {ioLog.cancelAll()};
};

} // namespace corneltally::platform
