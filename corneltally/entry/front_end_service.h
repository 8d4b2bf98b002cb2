#pragma once

#include "corneltally/entry/admission_messages.h"
#include "corneltally/entry/caller_run.h"
#include "corneltally/entry/claims_messages.h"
#include "corneltally/entry/run_event.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corneltally::kernel {
class service_registry;
}
namespace corneltally::settings {
struct account_view;
struct route_view;
} // namespace corneltally::settings

namespace corneltally::core {
class metrics;
}

namespace corneltally::entry {

/// Process settings of the front end.
struct front_end_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    http::address listen;
    /// Limits of the listener. Bodies over the body limit are refused with a typed error. Only
    /// above a multiple of it the connection is closed instead.
    http::server_limits limits;
    /// Bytes of an answer that a caller may leave unread before its connection is closed.
    std::size_t maxUnsentBytes = 1024 * 1024;
    /// Ignores all changes of the settings after the first version, so that withdrawals of keys do
    /// not take effect; only for tests.
    bool keepFirstSettings = false;
};

/// Serves the callers: checks keys and requests, requests admission and idempotency claims, starts
/// runs and writes the answers.
class front_end_service : public kernel::service
{
public:
    front_end_service(kernel::service_registry &inRegistry, core::metrics &inMetrics,
                      front_end_options inOptions);
    ~front_end_service() override;

    std::string_view name() const override { return "front_end"; }
    void start() override;
    std::string dump() const override;

    /// Binds the listener; returns false if the address is taken.
    bool listen();
    unsigned short port() const { return mServer.port(); }

private:
    using exchange_pointer = std::shared_ptr<http::exchange>;

    /// An answer that was not sent completely yet, and when it last made progress.
    struct unsent_answer
    {
        exchange_pointer caller;
        std::size_t pending = 0;
        core::time_point lastProgress;
    };

    void handleRequest(const exchange_pointer &inCaller);
    void serve(const exchange_pointer &inCaller);
    void listModels(const exchange_pointer &inCaller);
    void refuse(const exchange_pointer &inCaller, const caller_error &inError,
                std::string_view inAccount);
    std::optional<caller_error> checkSettingsAge(std::string_view inAccount) const;
    void beginRequest(const exchange_pointer &inCaller, const settings::route_view &inRoute,
                      run inRun, std::string inKeyDigest);
    std::optional<core::error> readIdempotencyHeaders(caller_run &ioRun,
                                                      const settings::route_view &inRoute);

    void handleAdmissionResult(const admission_result &inResult);
    void claimOrStart(caller_run &ioRun);
    void handleClaimResult(const claim_result &inResult);
    void startRun(caller_run &ioRun);
    void handleEvent(const run_event &inEvent);
    void handleEnd(caller_run &ioRun, const run_end &inEnd);
    void handleDisconnect(const std::string &inRequestId);
    void failRun(caller_run &ioRun, const caller_error &inError, std::string_view inEndpoint = {});
    void stopRun(caller_run &ioRun, const caller_error &inError);

    void settleTokens(caller_run &ioRun, double inUsed);
    /// Logs and counts the request and removes it.
    void complete(caller_run &ioRun, std::string_view inOutcome, std::string_view inEndpoint);
    void trackUnsentAnswer(const exchange_pointer &inCaller);

    void applySettings(const settings_changed &inChange);
    void sweep();
    void closeStalledCallers(core::time_point inNow);
    void serveHeldRequests();
    void checkDrained();
    std::string nextRequestId();

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    front_end_options mOptions;
    http::server mServer;
    kernel::timer mSweep;
    std::shared_ptr<const settings::settings_index> mSettingsIndex;
    std::unordered_map<std::string, std::unique_ptr<caller_run>> mRuns;
    std::vector<unsent_answer> mUnsentAnswers;
    /// Requests that arrived after a pause and wait until the settings are confirmed to be current.
    std::vector<exchange_pointer> mHeldRequests;
    std::optional<core::time_point> mHoldUntil;
    std::optional<core::time_point> mSettingsConfirmedAt;
    std::optional<core::time_point> mDrainingSince;
    core::time_point mLastRequest;
    bool mDrainReported = false;
    std::uint64_t mFinishedInDrain = 0;
    std::uint64_t mRequestCount = 0;
};

} // namespace corneltally::entry
