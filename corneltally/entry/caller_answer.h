#pragma once

#include "corneltally/core/error.h"

#include <string>
#include <string_view>

namespace corneltally::settings {
class settings_index;
}

namespace corneltally::entry {

/// An error as it is reported to a caller.
struct caller_error
{
    core::error error;
    /// Whether the request may have run; false guarantees that it did not.
    bool mayHaveRun = false;
    /// Value of Retry-After for 429 and 503; 0 selects the default of one second.
    int retryAfterSeconds = 0;
};

/// Body of /v1/models: all adapters, ordered by name.
std::string modelListBody(const settings::settings_index &inSettingsIndex);

/// The JSON body {"error":{...}} of an error answer.
std::string errorBody(const caller_error &inError, std::string_view inRequestId);

/// Whether an answer with this status carries Retry-After.
bool carriesRetryAfter(int inStatus);

/// Formats a part of a stream as one server-sent event, including the final blank line.
std::string streamEvent(std::string_view inData);

/// The event that ends a complete stream.
inline constexpr std::string_view cStreamDone = "data: [DONE]\n\n";

} // namespace corneltally::entry
