#pragma once

#include <cerrno>
#include <cstddef>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace corneltally::front_test {

/// A socket of a caller that the event loop of the test does not serve.
class raw_caller
{
public:
    /// With inReceiveBytes the kernel keeps about as many bytes that were not read.
    explicit raw_caller(unsigned short inPort, int inReceiveBytes = 0)
    {
        if (inReceiveBytes > 0)
            setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &inReceiveBytes, sizeof(inReceiveBytes));
        sockaddr_in target{.sin_family = AF_INET};
        target.sin_port = htons(inPort);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(mSocket, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0);
        REQUIRE(fcntl(mSocket, F_SETFL, O_NONBLOCK) == 0);
    }
    ~raw_caller() { close(mSocket); }
    raw_caller(const raw_caller &) = delete;
    raw_caller &operator=(const raw_caller &) = delete;

    void send(std::string_view inBytes)
    {
        REQUIRE(write(mSocket, inBytes.data(), inBytes.size())
                == static_cast<ssize_t>(inBytes.size()));
    }

    /// Reads at most as many bytes of those that have arrived. Returns false once the connection
    /// has ended.
    bool receive(std::size_t inBytes)
    {
        std::string bytes(inBytes, '\0');
        const ssize_t size = read(mSocket, bytes.data(), bytes.size());
        if (size > 0)
            received.append(bytes, 0, static_cast<std::size_t>(size));
        return size > 0 || (size < 0 && errno == EAGAIN);
    }

    std::string received;

private:
    int mSocket = socket(AF_INET, SOCK_STREAM, 0);
};

} // namespace corneltally::front_test
