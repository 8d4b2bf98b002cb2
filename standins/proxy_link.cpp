#include "standins/proxy_link.h"

#include "corneltally/kernel/event_loop.h"
#include "standins/proxy_connection.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {

namespace core = corneltally::core;

namespace {

constexpr int cBacklog = 256;

int openBound(unsigned short inPort)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    evutil_make_listen_socket_reuseable(descriptor);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(inPort);
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&local), sizeof(local)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

} // namespace

proxy_link::proxy_link(corneltally::kernel::event_loop &inLoop)
    : mLoop(inLoop)
    // Bound but never listening: keeps the port while the link is cut and connects are refused.
    , mReservation(openBound(0))
{
    sockaddr_in local{};
    socklen_t length = sizeof(local);
    getsockname(mReservation, reinterpret_cast<sockaddr *>(&local), &length);
    mPort = ntohs(local.sin_port);
    startListening();
}

proxy_link::~proxy_link()
{
    if (mListener != nullptr)
        evconnlistener_free(mListener);
    if (mReservation >= 0)
        close(mReservation);
}

void proxy_link::cut()
{
    if (mListener != nullptr)
        evconnlistener_free(mListener);
    mListener = nullptr;
    mConnections.clear();
}

void proxy_link::setFaults(std::optional<link_direction> inDirection,
                           const direction_faults &inFaults)
{
    for (const link_direction direction : {link_direction::forward, link_direction::backward}) {
        if (!inDirection || *inDirection == direction)
            mFaults[static_cast<std::size_t>(direction)] = inFaults;
    }
    applyFaults();
}

void proxy_link::halfOpen(std::optional<link_direction> inDirection)
{
    for (const auto &[id, connection] : mConnections) {
        for (const link_direction direction : {link_direction::forward, link_direction::backward}) {
            if (!inDirection || *inDirection == direction)
                connection->discard(direction);
        }
    }
}

void proxy_link::heal()
{
    for (direction_faults &faults : mFaults)
        faults = direction_faults{.delay = mStandingDelay};
    startListening();
    applyFaults();
}

void proxy_link::setStandingDelay(core::duration inDelay)
{
    mStandingDelay = inDelay;
    for (direction_faults &faults : mFaults)
        faults.delay = inDelay;
    applyFaults();
}

void proxy_link::startListening()
{
    if (mListener != nullptr)
        return;
    const int descriptor = openBound(mPort);
    if (descriptor < 0)
        return;
    mListener = evconnlistener_new(
        mLoop.base(),
        [](evconnlistener *, evutil_socket_t inSocket, sockaddr *, int, void *inSelf) {
            static_cast<proxy_link *>(inSelf)->accept(inSocket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, cBacklog, descriptor);
}

void proxy_link::accept(int inSocket)
{
    if (mTarget.port == 0) {
        close(inSocket);
        return;
    }
    evutil_make_socket_nonblocking(inSocket);
    const std::uint64_t id = mNextConnection++;
    mConnections.emplace(
        id, std::make_unique<proxy_connection>(mLoop, inSocket, mTarget, mFaults, [this, id] {
            mConnections.erase(id);
        }));
}

void proxy_link::applyFaults()
{
    for (const auto &[id, connection] : mConnections)
        connection->faultsChanged();
}

} // namespace standins
