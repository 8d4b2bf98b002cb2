#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::http {

class exchange;

/// Size limits and timeouts for callers' requests.
struct server_limits
{
    std::uint64_t maxBodyBytes = 1024 * 1024;
    std::uint64_t maxHeaderBytes = 32 * 1024;
    /// Limit on the time from the start of a request's header fields to its last byte.
    core::duration requestTimeout = std::chrono::seconds(10);
    core::duration idleTimeout = std::chrono::seconds(75);
    std::uint64_t maxConnections = 10'000;
};

/// HTTP/1.1 server. Passes each complete request to the handler as an exchange, which may be
/// answered immediately or later.
class server
{
public:
    using handler = std::function<void(const std::shared_ptr<exchange> &)>;

    server(kernel::event_loop &inLoop, handler inHandler, server_limits inLimits = {});
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    /// Binds and listens; port 0 lets the kernel choose. Returns false if the address is taken.
    bool listen(const address &inAddress);

    /// The bound port.
    unsigned short port() const;

    /// Stops accepting connections; open exchanges continue.
    void stopListening();

    /// Number of open connections.
    std::size_t connectionCount() const;

private:
    struct implementation;
    std::unique_ptr<implementation> mImplementation;
};

} // namespace corneltally::http
