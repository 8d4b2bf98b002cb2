#pragma once

#include "tests/promise/promise_fleet.h"

#include <atomic>
#include <string>
#include <thread>

namespace promise {

/// Reads a streamed answer on a thread of its own and notes when data arrived.
class stream_watch
{
public:
    explicit stream_watch(caller_request inRequest);
    ~stream_watch();
    stream_watch(const stream_watch &) = delete;
    stream_watch &operator=(const stream_watch &) = delete;

    /// Data arrived.
    bool hasBegun() const { return mBytes > 0; }
    bool hasEnded() const { return mEnded; }
    /// Wall-clock times of the last token and of the end.
    double lastData() const { return mLastData; }
    double endTime() const { return mEndTime; }
    /// Waits for the end and returns everything that was received.
    const std::string &text();

private:
    void run(const caller_request &inRequest);

    std::atomic<std::size_t> mBytes = 0;
    std::atomic<bool> mEnded = false;
    std::atomic<double> mLastData = 0;
    std::atomic<double> mEndTime = 0;
    std::string mText;
    std::thread mThread;
};

} // namespace promise
