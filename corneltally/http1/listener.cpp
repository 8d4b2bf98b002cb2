#include "corneltally/http1/listener.h"

#include "corneltally/kernel/event_loop.h"

#include <utility>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace corneltally::http1 {

namespace {

/// Length of the accept queue. When it is full, the kernel drops SYN packets, which callers
/// retransmit only after seconds.
constexpr int cBacklog = 512;

} // namespace

listener::listener(kernel::event_loop &inLoop, std::function<void(int inSocket)> inAccept)
    : mLoop(inLoop)
    , mAccept(std::move(inAccept))
{ }

listener::~listener()
{
    stop();
}

bool listener::listen(const address &inAddress)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inAddress.port);
    if (inet_pton(AF_INET, inAddress.host.c_str(), &target.sin_addr) != 1)
        return false;
    mListener = evconnlistener_new_bind(
        mLoop.base(),
        [](evconnlistener *, evutil_socket_t inSocket, sockaddr *, int, void *inSelf) {
            static_cast<listener *>(inSelf)->mAccept(inSocket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, cBacklog,
        reinterpret_cast<sockaddr *>(&target), sizeof(target));
    if (mListener == nullptr)
        return false;
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr *>(&bound), &length);
    mPort = ntohs(bound.sin_port);
    return true;
}

void listener::stop()
{
    if (mListener == nullptr)
        return;
    evconnlistener_free(std::exchange(mListener, nullptr));
}

void listener::acceptQueuedAndStop()
{
    if (mListener == nullptr)
        return;
    // Closing the socket resets the connections in its queue. The socket does not block.
    const evutil_socket_t listening = evconnlistener_get_fd(mListener);
    for (int accepted = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
         accepted >= 0;
         accepted = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
        mAccept(accepted);
    stop();
}

} // namespace corneltally::http1
