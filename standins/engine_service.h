#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/exchange.h"
#include "standins/engine_adapters.h"
#include "standins/engine_batch.h"
#include "standins/engine_options.h"

#include <cstdint>
#include <memory>
#include <string>

namespace standins {

/// The engine stand-in: completions, streams, adapters, fencing numbers and the state report
/// behind one HTTP port.
class engine_service
{
public:
    engine_service(host &inHost, const engine_options &inOptions);
    ~engine_service();
    engine_service(const engine_service &) = delete;
    engine_service &operator=(const engine_service &) = delete;

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    void complete(const exchange_pointer &inExchange, bool inChat);
    void streamCommand(const exchange_pointer &inExchange);
    void adapterCommand(const exchange_pointer &inExchange);
    void fenceCommand(const exchange_pointer &inExchange);
    void control(const exchange_pointer &inExchange);
    void reportState(const exchange_pointer &inExchange);

    /// Answers with 409 and returns false if the request's fencing number is stale.
    bool passesFence(const exchange_pointer &inExchange, const char *inCommand);
    std::string stateJson() const;
    void refreshReport();
    void recordRun(const exchange_pointer &inExchange, const engine_request &inRequest);

    host &mHost;
    bool mIgnoreFence;
    std::string mBaseModel;
    engine_options mOptions;
    engine_batch mBatch;
    engine_adapters mAdapters;
    std::uint64_t mHighestFence = 0;
    bool mLeaving = false;
    bool mRefusing = false;
    std::string mReport;
    corneltally::core::time_point mReportTime;
    std::unique_ptr<corneltally::kernel::timer> mReportTimer;
};

} // namespace standins
