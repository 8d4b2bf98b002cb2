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
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace standins {

struct site_endpoint_options
{
    host_options process{.name = "endpoint"};
    std::string service = "app";
    std::string failureDomain = "north";
    std::string store;
    /// Address under which others reach the endpoint, if not its own; a proxy link in tests.
    std::string advertised;
    /// Base model of an engine; empty for a plain endpoint.
    std::string model;
    long long slots = 8;
    long long adapterSlots = 4;
    long long workMs = 10;
    long long loadMs = 60;
    long long events = 6;
    long long eventMs = 15;
    long long heartbeatMs = 300;
    /// How long the endpoint is cold after its start, and the requests within a second at which it
    /// exits meanwhile; 0 for an endpoint that is never cold.
    long long coldMs = 0;
    long long coldLimit = 0;

    void addFlags(flag_parser &ioFlags);
};

/// An endpoint by the published protocol: it enters itself in the store, answers requests with a
/// seal, and as an engine streams events, takes orders for adapters and reports on them. Each run,
/// order and cancelled run is a line of the ledger.
///
/// POST /control/faults {"refuse":n,"fail":n,"lose":n,"cut":n,"silent":bool,
/// "late_orders":n,"leaving":bool,"say_leaving":bool,"pause_ms":n}: the next n requests are
/// refused, fail, run without an answer or are cut in the middle of the answer. With say_leaving
/// only the answers say that the endpoint leaves; with pause_ms requests are refused, and the
/// answers ask for a pause. An engine exits when it begins to answer a prompt with the part
/// cDeadlyPart.
class site_endpoint
{
public:
    site_endpoint(host &inHost, const site_endpoint_options &inOptions);
    ~site_endpoint();

    /// Enters the endpoint in the store; the host listens.
    void start(unsigned short inPort);
    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;
    struct run;

public:
    static constexpr const char *cDeadlyPart = "dead";

private:
    void request(const exchange_pointer &inExchange);
    void order(const exchange_pointer &inExchange);
    /// Carries out an order and returns the answer's status.
    int carryOut(const nlohmann::json &inOrder);
    void control(const exchange_pointer &inExchange);
    nlohmann::json report() const;
    nlohmann::json models() const;
    void heartbeat();
    void advance(run &ioRun);
    void endRuns();
    void refuse(const exchange_pointer &inExchange, int inStatus, const char *inReason,
                const corneltally::http::header_list &inMore = {});
    corneltally::http::header_list answerFields(const std::string &inRequest);
    bool isRunning(const std::string &inAdapter) const;
    /// How much longer the endpoint is cold.
    std::chrono::milliseconds coldLeft() const;
    /// Exits if the cold endpoint received too many requests within a second.
    void countWhileCold();
    /// Whether a fault that is set for a number of requests applies to this one.
    bool takeFault(const std::string &inName);

    host &mHost;
    site_endpoint_options mOptions;
    corneltally::http::client mClient;
    corneltally::kernel::timer mHeartbeat;
    std::uint64_t mStartedMs;
    std::chrono::steady_clock::time_point mStarted = std::chrono::steady_clock::now();
    std::deque<std::chrono::steady_clock::time_point> mReceivedWhileCold;
    std::uint64_t mOrders = 0;
    std::string mAddress;
    std::map<std::string, std::uint64_t> mAdapters;
    std::map<std::string, std::uint64_t> mArriving;
    /// Adapter whose unload waits for its runs; no other order is taken meanwhile.
    std::string mUnloading;
    std::list<std::unique_ptr<run>> mRuns;
    std::list<corneltally::kernel::timer> mLoads;
    std::map<std::string, long long> mFaults;
};

} // namespace standins
