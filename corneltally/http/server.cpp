#include "corneltally/http/server.h"

#include "corneltally/http/exchange.h"
#include "corneltally/http1/body_framing.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <optional>
#include <unordered_map>
#include <utility>

#include <arpa/inet.h>
#include <evhtp.h>
#include <netinet/in.h>

namespace corneltally::http {

namespace {

constexpr int cListenBacklog = 1024;

/// Converts a function to the pointer type under which the library stores hooks of all signatures.
template <typename Function>
evhtp_hook asHook(Function inFunction)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(inFunction));
}

/// State of an open connection.
struct connection_state
{
    std::shared_ptr<exchange> current;
    std::optional<kernel::timer> deadline;
    std::uint64_t headerBytes = 0;
    http1::body_framing framing;
};

} // namespace

struct server::implementation
{
    kernel::event_loop &loop;
    server::handler requestHandler;
    server_limits limits;
    evhtp_t *htp = nullptr;
    bool listening = false;
    unsigned short boundPort = 0;
    std::unordered_map<evhtp_connection_t *, connection_state> connections;

    explicit implementation(kernel::event_loop &inLoop)
        : loop(inLoop)
    { }

    void startDeadline(evhtp_connection_t *inConnection, core::duration inTimeout)
    {
        connection_state &state = connections[inConnection];
        // Where the event loop is late, bytes that arrived in time are handled in the iteration in
        // which the timer is due, after it. They may end this deadline.
        state.deadline.emplace(loop, [this, inConnection, wasDue = false]() mutable {
            if (!std::exchange(wasDue, true)) {
                connections[inConnection].deadline->startOnce(core::duration::zero());
                return;
            }
            bufferevent_trigger_event(evhtp_connection_get_bev(inConnection), BEV_EVENT_EOF,
                                      BEV_TRIG_DEFER_CALLBACKS);
        });
        state.deadline->startOnce(inTimeout);
    }

    void requestComplete(evhtp_request_t *inRequest)
    {
        connection_state &state = connections[inRequest->conn];
        state.deadline.reset();
        state.headerBytes = 0;
        if (state.current)
            state.current->detach();
        const auto current = std::make_shared<exchange>(inRequest);
        state.current = current;
        evhtp_request_set_hook(inRequest, evhtp_hook_on_request_fini, asHook(&sRequestEnded), this);
        requestHandler(current);
    }

    void detachExchange(evhtp_connection_t *inConnection)
    {
        const auto found = connections.find(inConnection);
        if (found == connections.end() || !found->second.current)
            return;
        const std::shared_ptr<exchange> current = std::move(found->second.current);
        found->second.current.reset();
        current->detach();
    }

    static evhtp_res sAccepted(evhtp_connection_t *inConnection, void *inSelf)
    {
        auto &self = *static_cast<implementation *>(inSelf);
        if (self.connections.size() >= self.limits.maxConnections)
            return EVHTP_RES_ERROR;
        self.startDeadline(inConnection, self.limits.idleTimeout);
        evhtp_connection_set_hook(inConnection, evhtp_hook_on_connection_fini,
                                  asHook(&sConnectionEnded), inSelf);
        evhtp_connection_set_hook(inConnection, evhtp_hook_on_headers_start,
                                  asHook(&sHeadersStarted), inSelf);
        evhtp_connection_set_hook(inConnection, evhtp_hook_on_header, asHook(&sHeader), inSelf);
        return EVHTP_RES_OK;
    }

    static evhtp_res sHeadersStarted(evhtp_request_t *inRequest, void *inSelf)
    {
        auto &self = *static_cast<implementation *>(inSelf);
        self.startDeadline(inRequest->conn, self.limits.requestTimeout);
        self.connections[inRequest->conn].framing = {};
        return EVHTP_RES_OK;
    }

    static evhtp_res sHeader(evhtp_request_t *inRequest, evhtp_header_t *inHeader, void *inSelf)
    {
        auto &self = *static_cast<implementation *>(inSelf);
        connection_state &state = self.connections[inRequest->conn];
        state.headerBytes += inHeader->klen + inHeader->vlen;
        // The library takes a request with a coding that it does not know for one without a body.
        const bool isSound
            = state.framing.add({inHeader->key, inHeader->klen}, {inHeader->val, inHeader->vlen});
        return isSound && state.headerBytes <= self.limits.maxHeaderBytes ? EVHTP_RES_OK
                                                                          : EVHTP_RES_ERROR;
    }

    static evhtp_res sRequestEnded(evhtp_request_t *inRequest, void *inSelf)
    {
        auto &self = *static_cast<implementation *>(inSelf);
        self.detachExchange(inRequest->conn);
        if (const auto found = self.connections.find(inRequest->conn);
            found != self.connections.end())
            self.startDeadline(inRequest->conn, self.limits.idleTimeout);
        return EVHTP_RES_OK;
    }

    static evhtp_res sConnectionEnded(evhtp_connection_t *inConnection, void *inSelf)
    {
        auto &self = *static_cast<implementation *>(inSelf);
        self.detachExchange(inConnection);
        self.connections.erase(inConnection);
        return EVHTP_RES_OK;
    }
};

server::server(kernel::event_loop &inLoop, handler inHandler, server_limits inLimits)
    : mImplementation(std::make_unique<implementation>(inLoop))
{
    mImplementation->requestHandler = std::move(inHandler);
    mImplementation->limits = inLimits;
    mImplementation->htp = evhtp_new(inLoop.base(), nullptr);
    evhtp_set_max_body_size(mImplementation->htp, inLimits.maxBodyBytes);
    evhtp_set_post_accept_cb(mImplementation->htp, &implementation::sAccepted,
                             mImplementation.get());
    evhtp_set_gencb(
        mImplementation->htp,
        [](evhtp_request_t *inRequest, void *inSelf) {
            static_cast<implementation *>(inSelf)->requestComplete(inRequest);
        },
        mImplementation.get());
}

server::~server()
{
    stopListening();
    // Freeing a connection calls sConnectionEnded(), which erases it from the map.
    while (!mImplementation->connections.empty())
        evhtp_connection_free(mImplementation->connections.begin()->first);
    evhtp_free(mImplementation->htp);
}

bool server::listen(const address &inAddress)
{
    implementation &self = *mImplementation;
    if (evhtp_bind_socket(self.htp, inAddress.host.c_str(), inAddress.port, cListenBacklog) != 0)
        return false;
    self.listening = true;
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(self.htp->server), reinterpret_cast<sockaddr *>(&bound),
                &length);
    self.boundPort = ntohs(bound.sin_port);
    return true;
}

unsigned short server::port() const
{
    return mImplementation->boundPort;
}

void server::stopListening()
{
    if (!mImplementation->listening)
        return;
    mImplementation->listening = false;
    evhtp_unbind_socket(mImplementation->htp);
}

std::size_t server::connectionCount() const
{
    return mImplementation->connections.size();
}

} // namespace corneltally::http
