#pragma once

#include "corneltally/entry/admission_messages.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/limits/shared_limiter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::entry {

/// Enforces this instance's shares of the fleet-wide limits of client accounts and of the weight
/// store, and exchanges loans with peers.
class admission_service : public kernel::service
{
public:
    /// Loan ids are numbered from the incarnation. With inIgnoreShares each instance enforces the
    /// whole limits on its own; only for tests.
    admission_service(kernel::service_registry &inRegistry, std::string inInstance,
                      std::uint64_t inIncarnation, bool inIgnoreShares = false);

    std::string_view name() const override { return "admission"; }
    void start() override { }
    std::string dump() const override;

private:
    /// The limit of a client account or of the weight store.
    struct limit
    {
        std::unique_ptr<limits::shared_limiter> limiter;
        std::optional<core::time_point> wakeAt;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };
    using limit_map = std::map<std::string, limit, std::less<>>;

    void receiveAdmissionRequest(const admission_request &inRequest);
    void receiveCancel(const admission_cancel &inCancel);
    void receiveSettle(const charge_settle &inSettle);
    void applySettings(const settings_changed &inChange);
    void applyPeers(const peers_changed &inChange);
    void applyPause();
    void receiveLoanRequest(const peer_received<loan_request> &inRequest);
    void receiveLoanGrant(const peer_received<loan_grant> &inGrant);
    void receiveWeightLoadRequest(const weight_load_request &inRequest);
    void receiveWeightLoadDone(const weight_load_done &inDone);

    void setLimit(const std::string &inName, double inRate, double inBurst, double inFraction,
                  core::time_point inNow);
    void removeLimits(const std::set<std::string, std::less<>> &inNames, core::time_point inNow);
    void poll(limit_map::iterator inLimit, core::time_point inNow);
    void pollDue();
    void scheduleWake(limit_map::iterator inLimit, std::optional<core::time_point> inWakeAt);
    void postDecision(const std::string &inName,
                      const limits::shared_limiter::decision &inDecision);
    void postLoadDecision(const limits::shared_limiter::decision &inDecision);
    void refuse(const std::string &inRequestId, core::error inError, int inRetryAfterSeconds);

    kernel::service_registry &mRegistry;
    std::string mInstance;
    std::uint64_t mIncarnation;
    bool mIgnoreShares;
    core::time_point mStartedAt;
    bool mHasSettings = false;
    limit_map mLimits;
    /// Accounts of the waiting requests, by request id.
    std::map<std::string, std::string, std::less<>> mWaitingAccounts;
    std::vector<std::string> mPeers;
    /// Time of the next poll and name of each limit that waits for one.
    std::set<std::pair<core::time_point, std::string>> mWakes;
    kernel::timer mWakeTimer;

    /// Loads that wait for the weight store's rate, and loads in flight with the time after which
    /// they are assumed to have ended.
    std::map<std::string, weight_load_request, std::less<>> mWaitingLoads;
    std::map<std::string, core::time_point, std::less<>> mLoadsInFlight;
    std::size_t mMaxLoadsInFlight = 1;
};

} // namespace corneltally::entry
