#pragma once

#include "corneltally/peer/connection.h"

#include <functional>
#include <memory>
#include <string>

struct evconnlistener;

namespace corneltally::peer {

/// Accepts connections of peers.
class listener
{
public:
    using handler = std::function<void(std::unique_ptr<connection> inConnection)>;

    listener(kernel::event_loop &inLoop, handler inHandler);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Binds and listens; port 0 lets the kernel choose. Returns false if the address is taken.
    bool listen(const std::string &inHost, unsigned short inPort);

    unsigned short port() const { return mPort; }

private:
    kernel::event_loop &mLoop;
    handler mHandler;
    evconnlistener *mListener = nullptr;
    unsigned short mPort = 0;
};

} // namespace corneltally::peer
