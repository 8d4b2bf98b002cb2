#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/store/record.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::store {

/// Client of the platform's store. All topics are keyed and have one partition.
template <typename T>
concept store_client = requires(T &ioClient, const std::string &inTopic, std::uint64_t inOffset,
                                core::duration inWait, std::vector<record> inRecords,
                                std::optional<position> inExpectedEnd,
                                std::function<void(const read_result &)> inReadHandler,
                                std::function<void(const append_result &)> inAppendHandler)
{
    // Reads one page of the newest records of all keys after the given key.
    ioClient.readNewest(inTopic, inTopic, inReadHandler);
    // Reads the records from an offset on; waits up to the given time if there are none. The answer
    // may be of another era than the offset.
    ioClient.read(inTopic, inOffset, inWait, inReadHandler);
    // Appends all records or none; if an expected end is given, only if the topic ends there.
    ioClient.append(inTopic, inRecords, inExpectedEnd, inAppendHandler);
};

} // namespace corneltally::store
