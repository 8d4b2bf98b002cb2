#include "standins/proxy_connection.h"

#include "corneltally/kernel/event_loop.h"

#include <algorithm>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;
namespace kernel = corneltally::kernel;

namespace {

/// A sink that does not read holds its source back beyond this.
constexpr std::size_t cMaxBufferedBytes = 1024 * 1024;

void disableNagle(int inSocket)
{
    const int on = 1;
    setsockopt(inSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

proxy_connection::proxy_connection(kernel::event_loop &inLoop, int inAccepted,
                                   const http::address &inTarget, const link_faults &inFaults,
                                   std::function<void()> inEnded)
    : mLoop(inLoop)
    , mFaults(inFaults)
    , mEnded(std::move(inEnded))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inTarget.port);
    inet_pton(AF_INET, inTarget.host.c_str(), &target.sin_addr);
    disableNagle(inAccepted);
    initialize(0, bufferevent_socket_new(inLoop.base(), inAccepted, BEV_OPT_CLOSE_ON_FREE));
    initialize(1, bufferevent_socket_new(inLoop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_socket_connect(mDirections[1].source, reinterpret_cast<sockaddr *>(&target),
                               sizeof(target));
    if (mDirections[1].source != nullptr && bufferevent_getfd(mDirections[1].source) >= 0)
        disableNagle(bufferevent_getfd(mDirections[1].source));
}

proxy_connection::~proxy_connection()
{
    for (direction_state &state : mDirections) {
        if (state.source != nullptr)
            bufferevent_free(state.source);
    }
}

void proxy_connection::discard(link_direction inDirection)
{
    direction_state &state = mDirections[static_cast<std::size_t>(inDirection)];
    state.discarding = true;
    state.waiting.clear();
}

void proxy_connection::faultsChanged()
{
    for (std::size_t index = 0; index < mDirections.size(); ++index) {
        mDirections[index].forwarded = 0;
        updateReading(index);
        releaseWaiting(index);
    }
}

void proxy_connection::initialize(std::size_t inIndex, bufferevent *inSource)
{
    direction_state &state = mDirections[inIndex];
    state.owner = this;
    state.source = inSource;
    state.timer.emplace(mLoop, [this, inIndex] { releaseWaiting(inIndex); });
    bufferevent_setcb(
        inSource,
        [](bufferevent *, void *inState) {
            auto &self = *static_cast<direction_state *>(inState);
            self.owner->readable(self.owner->indexOf(self));
        },
        [](bufferevent *, void *inState) {
            auto &self = *static_cast<direction_state *>(inState);
            self.owner->drained(self.owner->indexOf(self));
        },
        [](bufferevent *, short inEvents, void *inState) {
            auto &self = *static_cast<direction_state *>(inState);
            if ((inEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
                self.owner->sourceEnded(self.owner->indexOf(self));
        },
        &state);
    bufferevent_enable(inSource, EV_WRITE);
    updateReading(inIndex);
}

void proxy_connection::readable(std::size_t inIndex)
{
    direction_state &state = mDirections[inIndex];
    evbuffer *input = bufferevent_get_input(state.source);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    if (!state.discarding && !state.closesWhenDrained && !data.empty())
        deliver(inIndex, std::move(data));
}

void proxy_connection::sourceEnded(std::size_t inIndex)
{
    readable(inIndex);
    direction_state &state = mDirections[inIndex];
    // readable() may have closed both sides.
    if (state.source == nullptr)
        return;
    closeSide(inIndex);
    if (!state.discarding)
        deliver(inIndex, {});
    else if (sinkOf(inIndex) == nullptr)
        closeBoth();
}

void proxy_connection::deliver(std::size_t inIndex, std::string inData)
{
    direction_state &state = mDirections[inIndex];
    const core::duration delay = mFaults[inIndex].delay;
    if (delay.count() == 0 && state.waiting.empty() && !mFaults[inIndex].frozen) {
        forward(inIndex, inData);
        return;
    }
    state.waiting.push_back({core::boot_clock::now() + delay, std::move(inData)});
    releaseWaiting(inIndex);
}

void proxy_connection::forward(std::size_t inIndex, const std::string &inData)
{
    bufferevent *sink = sinkOf(inIndex);
    if (inData.empty() || sink == nullptr) {
        closeAfterDrain(inIndex);
        return;
    }
    direction_state &state = mDirections[inIndex];
    std::size_t size = inData.size();
    const std::optional<std::uint64_t> &limit = mFaults[inIndex].dropAfter;
    const bool drops = limit && state.forwarded + size >= *limit;
    if (drops)
        size = static_cast<std::size_t>(*limit - std::min(*limit, state.forwarded));
    state.forwarded += size;
    bufferevent_write(sink, inData.data(), size);
    if (drops)
        closeAfterDrain(inIndex);
    else
        updateReading(inIndex);
}

void proxy_connection::drained(std::size_t inIndex)
{
    if (mDirections[inIndex].closesWhenDrained)
        closeBoth();
    else
        updateReading(1 - inIndex);
}

void proxy_connection::closeAfterDrain(std::size_t inIndex)
{
    closeSide(inIndex);
    bufferevent *sink = sinkOf(inIndex);
    if (sink == nullptr || evbuffer_get_length(bufferevent_get_output(sink)) == 0)
        closeBoth();
    else
        mDirections[1 - inIndex].closesWhenDrained = true;
}

void proxy_connection::releaseWaiting(std::size_t inIndex)
{
    direction_state &state = mDirections[inIndex];
    const core::time_point now = core::boot_clock::now();
    while (!state.waiting.empty() && !mFaults[inIndex].frozen && state.waiting.front().due <= now) {
        const std::string data = std::move(state.waiting.front().data);
        state.waiting.pop_front();
        forward(inIndex, data);
    }
    if (!state.waiting.empty() && !mFaults[inIndex].frozen)
        state.timer->startOnce(state.waiting.front().due - now);
}

void proxy_connection::updateReading(std::size_t inIndex)
{
    bufferevent *source = mDirections[inIndex].source;
    if (source == nullptr)
        return;
    bufferevent *sink = sinkOf(inIndex);
    const bool full
        = sink != nullptr && evbuffer_get_length(bufferevent_get_output(sink)) > cMaxBufferedBytes;
    if (mFaults[inIndex].frozen || full)
        bufferevent_disable(source, EV_READ);
    else
        bufferevent_enable(source, EV_READ);
}

void proxy_connection::closeSide(std::size_t inIndex)
{
    bufferevent *side = std::exchange(mDirections[inIndex].source, nullptr);
    if (side != nullptr)
        bufferevent_free(side);
}

void proxy_connection::closeBoth()
{
    for (std::size_t index = 0; index < mDirections.size(); ++index) {
        mDirections[index].waiting.clear();
        closeSide(index);
    }
    if (mEnded)
        mLoop.post(std::exchange(mEnded, nullptr));
}

std::size_t proxy_connection::indexOf(const direction_state &inState) const
{
    return &inState == mDirections.data() ? 0 : 1;
}

} // namespace standins
