#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::forwarding {

/// Splits a stream of server-sent events into complete events.
class event_splitter
{
public:
    struct event
    {
        /// All bytes of the event, including the terminating blank line.
        std::string bytes;
        std::string id;

        friend bool operator==(const event &, const event &) = default;
    };

    /// Appends bytes and returns the events that they complete.
    std::vector<event> append(std::string_view inBytes);

    /// Bytes of the incomplete event at the end of the stream.
    const std::string &remainder() const { return mRemainder; }

    void clear() { mRemainder.clear(); }

private:
    std::string mRemainder;
};

} // namespace corneltally::forwarding
