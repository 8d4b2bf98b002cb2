#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace corneltally::endpoint {

/// Splits a byte stream into server-sent events.
class event_stream_parser
{
public:
    /// Longest event that is accepted.
    static constexpr std::size_t sMaxEventBytes = 1024 * 1024;

    /// Takes bytes and returns the events that they complete, each with its field names and without
    /// the empty line at its end. The final "[DONE]" event is not returned, see isDone().
    std::vector<std::string> feed(std::string_view inData);

    /// The stream was ended by the engine, not only by its connection.
    bool isDone() const { return mDone; }
    bool isTooLong() const { return mPending.size() > sMaxEventBytes; }

private:
    std::string mPending;
    bool mDone = false;
};

} // namespace corneltally::endpoint
