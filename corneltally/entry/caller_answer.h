#pragma once

#include "corneltally/core/error.h"

#include <string>
#include <string_view>

namespace corneltally::settings {
class catalog;
}

namespace corneltally::entry {

/// A failure as a caller sees it.
struct caller_error
{
    core::error error;
    /// Whether the request may have run; false is a promise that it did not.
    bool mayHaveRun = false;
    /// Advice for 429 and 503; 0 leaves the default of one second.
    int retryAfterSeconds = 0;
};

/// Body of /v1/models: all adapters, ordered by name.
std::string modelListBody(const settings::catalog &inCatalog);

/// Body {"error":{...}} of a failure.
std::string errorBody(const caller_error &inError, std::string_view inRequestId);

/// Whether an answer with this status carries Retry-After.
bool carriesRetryAfter(int inStatus);

/// A part of a stream as one server-sent event, with its final blank line.
std::string streamEvent(std::string_view inData);

/// The event that ends a complete stream.
inline constexpr std::string_view cStreamDone = "data: [DONE]\n\n";

} // namespace corneltally::entry
