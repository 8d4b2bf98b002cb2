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

/// Calls to the platform's store. All topics have one partition and are keyed.
template <typename T>
concept store_client = requires(T &ioClient, const std::string &inTopic, std::uint64_t inOffset,
                                core::duration inWait, std::vector<record> inRecords,
                                std::optional<std::uint64_t> inExpectedEnd,
                                std::function<void(const read_result &)> inReadHandler,
                                std::function<void(const append_result &)> inAppendHandler)
{
    // Newest record of each key behind a key, in pages.
    ioClient.readNewest(inTopic, inTopic, inReadHandler);
    // Records from an offset; waits for one up to a time.
    ioClient.read(inTopic, inOffset, inWait, inReadHandler);
    // Appends all records or none; with an expected end only if the topic ends there.
    ioClient.append(inTopic, inRecords, inExpectedEnd, inAppendHandler);
};

} // namespace corneltally::store
