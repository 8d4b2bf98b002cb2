#include "tests/integration/endless_endpoint.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

endless_endpoint::endless_endpoint(std::string inHead)
    : mHead(std::move(inHead))
    , mListener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in own{.sin_family = AF_INET};
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof own;
    auto *address = reinterpret_cast<sockaddr *>(&own);
    if (bind(mListener, address, size) == 0 && listen(mListener, SOMAXCONN) == 0
        && getsockname(mListener, address, &size) == 0)
        mPort = ntohs(own.sin_port);
    mAcceptor = std::thread([this] { accept(); });
}

endless_endpoint::~endless_endpoint()
{
    shutdown(mListener, SHUT_RDWR);
    mAcceptor.join();
    for (std::thread &answer : mAnswers)
        answer.join();
    close(mListener);
}

void endless_endpoint::accept()
{
    for (int caller = ::accept(mListener, nullptr, nullptr); caller >= 0;
         caller = ::accept(mListener, nullptr, nullptr))
        mAnswers.emplace_back([this, caller] { answer(caller); });
}

void endless_endpoint::answer(int inSocket)
{
    const std::string filler(256 * 1024, 'x');
    std::string request(64 * 1024, '\0');
    bool isOpen = recv(inSocket, request.data(), request.size(), 0) > 0
        && send(inSocket, mHead.data(), mHead.size(), MSG_NOSIGNAL) > 0;
    for (std::size_t sent = 0; isOpen && sent < sMaxBytes; sent += filler.size())
        isOpen = send(inSocket, filler.data(), filler.size(), MSG_NOSIGNAL) > 0;
    // Waits until the caller closes.
    while (isOpen && recv(inSocket, request.data(), request.size(), 0) > 0) { }
    ++mClosed;
    close(inSocket);
}
