#pragma once

#include "corneltally/http/client.h"
#include "corneltally/http/message.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace corneltally::bench {

/// Kind of a soak call by the path of its route.
enum class call_kind { look, order, chat, resumable };

/// An instance that callers may choose.
struct soak_target
{
    std::string instance;
    http::address address;
};

/// One call as its caller saw it.
struct soak_call
{
    std::string id;
    std::string instance;
    call_kind kind = call_kind::look;
    std::string account;
    std::string key;
    std::string sentBody;
    /// Whether the request ends the engine that runs it. Such a call repeats another one's content.
    bool isDeadly = false;
    /// Seconds since 1970.
    double start = 0;
    double end = 0;
    /// Zero if no answer began.
    int status = 0;
    /// Whether the answer was complete.
    bool complete = false;
    /// Whether the instance read the request and ended the connection in an orderly way without an
    /// answer, before its caller could know that the connection was closing.
    bool isLost = false;
    std::string body;
};

/// Which of the calls end the engine that runs them.
enum class deadly_calls {
    none,
    /// The callers repeat the same few requests.
    repeated,
    /// Each call differs, so that instances can't know it again.
    all_different
};

/// Callers that send requests of all kinds to all instances over kept connections, one thread each,
/// until they are stopped. Some go on sending on a connection until it is closed in full.
class soak_callers
{
public:
    /// Those that go on sending send so many calls at once on a connection.
    soak_callers(std::uint64_t inSeed, int inCallers, int inAtOnce);
    ~soak_callers();
    soak_callers(const soak_callers &) = delete;
    soak_callers &operator=(const soak_callers &) = delete;

    void setTargets(std::vector<soak_target> inTargets);
    void setDeadlyCalls(deadly_calls inCalls) { mDeadlyCalls = inCalls; }
    /// The key that the account's callers use from now on.
    void setKey(const std::string &inAccount, const std::string &inKey);
    void stop();

    std::vector<soak_call> takeCalls();
    /// Calls that were served so far, by kind.
    int served(call_kind inKind) const { return mServed[static_cast<std::size_t>(inKind)]; }

private:
    void run(std::uint64_t inSeed, int inNumber);
    void runPersistent(std::uint64_t inSeed, int inNumber);
    bool makeCall(std::mt19937_64 &ioRandom, const std::string &inId, soak_call &outCall,
                  http::call_request &outRequest);
    void add(soak_call inCall);

    mutable std::mutex mMutex;
    std::vector<soak_target> mTargets;
    std::vector<std::pair<std::string, std::string>> mKeys;
    std::vector<soak_call> mCalls;
    std::array<std::atomic<int>, 4> mServed{};
    std::atomic<bool> mStopping = false;
    std::atomic<deadly_calls> mDeadlyCalls = deadly_calls::none;
    int mAtOnce;
    std::vector<std::thread> mThreads;
};

} // namespace corneltally::bench
