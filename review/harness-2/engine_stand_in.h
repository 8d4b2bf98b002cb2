#pragma once

#include "corneltally/http/client.h"
#include "corneltally/http/exchange.h"
#include "corneltally/kernel/timer.h"
#include "standins/host.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

namespace review {

struct engine_options
{
    standins::host_options process{.name = "engine"};
    std::string store;
    std::string zone = "reykjanes-a";
    long long adapterSlots = 8;
    long long heartbeatMs = 1200;
    /// Time between the events of a stream.
    long long eventMs = 40;
    /// Share of the orders that get no answer and are carried out late, and by how much.
    double lateShare = 0;
    long long lateMinMs = 2000;
    long long lateMaxMs = 12'000;
    /// Orders get no answer in the first part of each period only.
    long long lateWindowMs = 6000;
    long long latePeriodMs = 7000;
    /// Answer to an unload that is already being carried out: 202 or 409.
    long long repeatedUnload = 202;
    long long seed = 1;
};

/// An engine by the published protocol, with what the pages say of orders: one that waits for the
/// runs of its adapter is answered 202 and lets no other one through; an order that is carried out
/// late finds its `expect` checked then; a load beyond the places ends the engine. It is one of the
/// engines that go on with a request whose connection has closed.
class engine_stand_in
{
public:
    engine_stand_in(standins::host &inHost, engine_options inOptions);
    ~engine_stand_in();

    void start(unsigned short inPort);
    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    struct run
    {
        exchange_pointer exchange;
        std::string id;
        std::string adapter;
        long long event = 0;
        long long events = 0;
        std::unique_ptr<corneltally::kernel::timer> timer;
    };

    void heartbeat();
    void request(const exchange_pointer &inExchange);
    void refuse(const exchange_pointer &inExchange, int inStatus);
    void advance(run &ioRun);
    void order(const exchange_pointer &inExchange);
    int carryOut(const nlohmann::json &inOrder);
    int load(const std::string &inAdapter);
    int unload(const std::string &inAdapter);
    void loaded(const std::string &inAdapter);
    bool isRunning(const std::string &inAdapter) const;
    bool leavesUnanswered();
    void endUnload();
    void takeSnapshot();
    nlohmann::json modelsNow() const;
    void after(std::chrono::milliseconds inDelay, std::function<void()> inTask);

    standins::host &mHost;
    engine_options mOptions;
    corneltally::http::client mClient;
    corneltally::kernel::timer mHeartbeat;
    corneltally::kernel::timer mSnapshots;
    std::string mAddress;
    std::chrono::steady_clock::time_point mStarted = std::chrono::steady_clock::now();
    std::uint64_t mBorn = 0;
    std::uint64_t mSequence = 0;
    std::map<std::string, std::uint64_t> mAdapters;
    std::map<std::string, std::uint64_t> mArriving;
    /// Adapter whose unload waits for its runs.
    std::optional<std::string> mUnloading;
    std::list<run> mRuns;
    std::list<corneltally::kernel::timer> mTasks;
    /// Orders that got no answer; their connections return nothing further.
    std::deque<exchange_pointer> mUnanswered;
    /// Reports of the last moments, since a report is as of some hundred milliseconds ago.
    std::deque<nlohmann::json> mReports;
    std::mt19937_64 mRandom;
};

} // namespace review
