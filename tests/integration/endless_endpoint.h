#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

/// Endpoint that answers each connection with a head and then with bytes without end, until its
/// caller closes or a limit that keeps a faulty caller from filling the machine's memory.
class endless_endpoint
{
public:
    explicit endless_endpoint(std::string inHead);
    ~endless_endpoint();
    endless_endpoint(const endless_endpoint &) = delete;
    endless_endpoint &operator=(const endless_endpoint &) = delete;

    unsigned short port() const { return mPort; }
    /// Number of connections that were closed by their callers.
    int closed() const { return mClosed; }

    /// Most bytes that are sent on one connection.
    static constexpr std::size_t sMaxBytes = 64 * 1024 * 1024;

private:
    void accept();
    void answer(int inSocket);

    std::string mHead;
    int mListener = -1;
    unsigned short mPort = 0;
    std::atomic<int> mClosed = 0;
    std::vector<std::thread> mAnswers;
    std::thread mAcceptor;
};
