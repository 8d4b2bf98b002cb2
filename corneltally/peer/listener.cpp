#include "corneltally/peer/listener.h"

#include "corneltally/kernel/event_loop.h"

#include <utility>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace corneltally::peer {

listener::listener(kernel::event_loop &inLoop, handler inHandler)
    : mLoop(inLoop)
    , mHandler(std::move(inHandler))
{ }

listener::~listener()
{
    if (mListener != nullptr)
        evconnlistener_free(mListener);
}

bool listener::listen(const std::string &inHost, unsigned short inPort)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(inPort);
    if (inet_pton(AF_INET, inHost.c_str(), &address.sin_addr) != 1)
        return false;
    mListener = evconnlistener_new_bind(
        mLoop.base(),
        [](evconnlistener *, evutil_socket_t inSocket, sockaddr *, int, void *inSelf) {
            auto &self = *static_cast<listener *>(inSelf);
            self.mHandler(std::make_unique<connection>(self.mLoop, inSocket));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr *>(&address),
        sizeof(address));
    if (mListener == nullptr)
        return false;
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr *>(&bound), &length);
    mPort = ntohs(bound.sin_port);
    return true;
}

} // namespace corneltally::peer
