#pragma once

#include "corneltally/http1/listener.h"
#include "corneltally/peer/connection.h"

#include <functional>
#include <memory>
#include <string>

namespace corneltally::peer {

/// Accepts connections from peers.
class listener
{
public:
    using handler = std::function<void(std::unique_ptr<connection> inConnection)>;

    listener(kernel::event_loop &inLoop, handler inHandler);

    /// Binds and listens; port 0 lets the kernel choose. Returns false if the address is taken.
    bool listen(const std::string &inHost, unsigned short inPort);

    unsigned short port() const { return mListener.port(); }

private:
    handler mHandler;
    http1::listener mListener;
};

} // namespace corneltally::peer
