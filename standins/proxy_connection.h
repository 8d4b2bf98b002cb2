#pragma once

#include "corneltally/http/message.h"
#include "corneltally/kernel/timer.h"
#include "standins/link_faults.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>

struct bufferevent;

namespace standins {

/// A proxied connection: the accepted side, the side to the target, and the faults between them.
class proxy_connection
{
public:
    /// The faults belong to the link and outlive the connection. The handler is called once, when
    /// both sides are closed.
    proxy_connection(corneltally::kernel::event_loop &inLoop, int inAccepted,
                     const corneltally::http::address &inTarget, const link_faults &inFaults,
                     std::function<void()> inEnded);
    ~proxy_connection();
    proxy_connection(const proxy_connection &) = delete;
    proxy_connection &operator=(const proxy_connection &) = delete;

    /// From now on data of a direction is discarded, and its end is not reported.
    void discard(link_direction inDirection);

    /// Takes account of changed faults.
    void faultsChanged();

private:
    /// Data that waits for its delay. Empty data is the end of the stream.
    struct delayed_data
    {
        corneltally::core::time_point due;
        std::string data;
    };

    /// One direction: from the side with its index to the other one.
    struct direction_state
    {
        proxy_connection *owner = nullptr;
        bufferevent *source = nullptr;
        bool discarding = false;
        /// What was forwarded to this side still has to leave before the connection ends.
        bool closesWhenDrained = false;
        std::uint64_t forwarded = 0;
        std::deque<delayed_data> waiting;
        std::optional<corneltally::kernel::timer> timer;
    };

    bufferevent *&sinkOf(std::size_t inIndex) { return mDirections[1 - inIndex].source; }
    void initialize(std::size_t inIndex, bufferevent *inSource);
    void readable(std::size_t inIndex);
    void sourceEnded(std::size_t inIndex);
    void deliver(std::size_t inIndex, std::string inData);
    void forward(std::size_t inIndex, const std::string &inData);
    void releaseWaiting(std::size_t inIndex);
    void updateReading(std::size_t inIndex);
    void drained(std::size_t inIndex);
    void closeAfterDrain(std::size_t inIndex);
    void closeSide(std::size_t inIndex);
    void closeBoth();
    std::size_t indexOf(const direction_state &inState) const;

    corneltally::kernel::event_loop &mLoop;
    const link_faults &mFaults;
    std::function<void()> mEnded;
    std::array<direction_state, 2> mDirections;
};

} // namespace standins
