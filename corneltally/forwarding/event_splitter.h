#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::forwarding {

/// Cuts a stream of server-sent events into whole events.
class event_splitter
{
public:
    struct event
    {
        /// All bytes, with the blank line that ends it.
        std::string bytes;
        std::string id;

        friend bool operator==(const event &, const event &) = default;
    };

    /// Adds bytes and returns the events that are complete now.
    std::vector<event> append(std::string_view inBytes);

    /// Bytes of an event that is not complete.
    const std::string &remainder() const { return mRemainder; }

    void clear() { mRemainder.clear(); }

private:
    std::string mRemainder;
};

} // namespace corneltally::forwarding
