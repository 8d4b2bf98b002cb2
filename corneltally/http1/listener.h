#pragma once

#include "corneltally/http1/address.h"

#include <functional>

struct evconnlistener;

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::http1 {

/// Accepts TCP connections on an address.
class listener
{
public:
    listener(kernel::event_loop &inLoop, std::function<void(int inSocket)> inAccept);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Binds and listens; port 0 lets the kernel choose. Returns false if the address is taken or
    /// invalid.
    bool listen(const address &inAddress);

    /// Stops accepting. Connections in the accept queue are left to the kernel.
    void stop();

    /// Accepts the connections that wait in the queue, then stops.
    void acceptQueuedAndStop();

    unsigned short port() const { return mPort; }

private:
    kernel::event_loop &mLoop;
    std::function<void(int)> mAccept;
    evconnlistener *mListener = nullptr;
    unsigned short mPort = 0;
};

} // namespace corneltally::http1
