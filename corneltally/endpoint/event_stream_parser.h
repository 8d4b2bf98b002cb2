#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace corneltally::endpoint {

/// Incremental parser that splits a byte stream into server-sent events.
class event_stream_parser
{
public:
    /// Size limit of an event.
    static constexpr std::size_t sMaxEventBytes = 1024 * 1024;

    /// Parses bytes and returns the events that they complete, each with its field names but
    /// without the terminating empty line. Comments and the final "[DONE]" event are not returned;
    /// see isDone().
    std::vector<std::string> feed(std::string_view inData);

    /// Whether the engine sent the final event. The end of the connection doesn't count.
    bool isDone() const { return mDone; }
    bool isTooLong() const { return mPending.size() > sMaxEventBytes; }

private:
    std::string mPending;
    bool mDone = false;
};

} // namespace corneltally::endpoint
