#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/// Endpoint in a thread of its own that answers one connection by plain socket calls, so that it
/// can end it in ways which the product's own streams avoid.
class raw_endpoint
{
public:
    /// The answer owns the socket and closes it.
    explicit raw_endpoint(std::function<void(int inSocket)> inAnswer)
        : mListener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof own;
        auto *address = reinterpret_cast<sockaddr *>(&own);
        if (bind(mListener, address, size) == 0 && listen(mListener, SOMAXCONN) == 0
            && getsockname(mListener, address, &size) == 0)
            mPort = ntohs(own.sin_port);
        mAnswering = std::thread([this, answer = std::move(inAnswer)] {
            const int caller = accept(mListener, nullptr, nullptr);
            if (caller >= 0)
                answer(caller);
        });
    }

    ~raw_endpoint()
    {
        shutdown(mListener, SHUT_RDWR);
        mAnswering.join();
        close(mListener);
    }

    raw_endpoint(const raw_endpoint &) = delete;
    raw_endpoint &operator=(const raw_endpoint &) = delete;

    unsigned short port() const { return mPort; }

    /// Reads what has arrived of a request; returns false at its end.
    static bool sReadSome(int inSocket)
    {
        std::string bytes(64 * 1024, '\0');
        return recv(inSocket, bytes.data(), bytes.size(), 0) > 0;
    }

    static void sSend(int inSocket, std::string_view inBytes)
    {
        while (!inBytes.empty()) {
            const ssize_t sent = send(inSocket, inBytes.data(), inBytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            inBytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    static void sReset(int inSocket)
    {
        const linger atOnce{.l_onoff = 1, .l_linger = 0};
        setsockopt(inSocket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        close(inSocket);
    }

private:
    int mListener = -1;
    unsigned short mPort = 0;
    std::thread mAnswering;
};
