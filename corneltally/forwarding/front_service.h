#pragma once

#include "corneltally/catalog/catalog_messages.h"
#include "corneltally/catalog/evacuation_messages.h"
#include "corneltally/fleet/mesh_messages.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/http1/listener.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/routing/unserved_restrictions.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::forwarding {

class forwarded_request;

struct front_options
{
    std::string instance;
    std::string failureDomain;
    http1::address listen;
    forward_settings settings;
    limits::fleet_retry_budget::limits retries;
    /// Whether nothing is sent after a process pause until the operator records were read again,
    /// since a failure domain may have been evacuated meanwhile.
    bool confirmsEvacuations = false;
    /// Whether requests are weighed against each other during an overload.
    bool weighsOverload = false;
    /// Bytes that the bodies of requests may take together.
    std::uint64_t bodyBudgetBytes = 128 * 1024 * 1024;
    /// Time after the start in which requests wait for the first message of another instance, which
    /// tells what is in quarantine.
    core::duration firstMessageTimeout = std::chrono::milliseconds(400);
    /// Region of each failure domain.
    routing::domain_regions regions = {};
};

/// Accepts the connections of callers and handles their requests.
class front_service final : public kernel::service
{
public:
    static constexpr std::string_view cName = "front";

    front_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                  front_options inOptions);
    ~front_service() override;

    std::string_view name() const override { return cName; }
    void start() override;
    std::string dump() const override;

    bool listen() { return mListener.listen(mOptions.listen); }
    unsigned short port() const { return mListener.port(); }

    /// Whether requests can be served: the configuration and the endpoints are known, and the
    /// instance is not draining.
    bool ready() const;

    /// Starts draining: answers announce that their connection closes, and requests are served only
    /// if they can finish before endRequests() is called at inEnd.
    void beginDrain(core::time_point inEnd);
    /// Answers all requests that still run; streams that have started are broken off.
    void endRequests();
    /// Closes idle connections.
    void closeIdle();
    void stopListening() { mListener.acceptQueuedAndStop(); }
    std::size_t running() const;
    /// Number of requests that have begun to arrive and are not yet answered in full.
    std::size_t unfinished() const;
    /// Number of connections on which bytes arrived that were not parsed.
    std::size_t withInput() const;

    void setRetryLimits(const limits::fleet_retry_budget::limits &inLimits)
    {
        mContext.retries.setLimits(inLimits);
    }

    /// Sets the region of each failure domain, for requests that arrive from now on.
    void setRegions(routing::domain_regions inRegions);

    /// Called when the process was suspended for some time. Discards state that may be outdated.
    void paused();

private:
    struct caller
    {
        std::unique_ptr<http1::server_connection> connection;
        std::unique_ptr<forwarded_request> request;
    };

    void accept(int inSocket);
    void requestArrived(std::uint64_t inCaller, http1::server_request inRequest);
    bool awaitsFirstMessage() const;
    void endFirstMessageWait();
    void requestEnded(std::uint64_t inCaller);
    void callerClosed(std::uint64_t inCaller);
    void configurationChanged(const catalog::configuration_changed &inChanged);
    void endpointChanged(const std::string &inEndpoint);
    void evacuationChanged(const catalog::evacuation_changed &inChanged);
    std::vector<forwarded_request *> requests() const;
    void holdSends();
    void releaseSends(bool inConfirmed);
    void meshReceived(const fleet::mesh_received &inReceived);
    void summaryReceived(const fleet::domain_summary &inSummary);
    void engineStateReceived(const std::string &inHolder, const fleet::engine_state &inState);
    void sendHeartbeatPart();
    void endpointNoticed(const engines::endpoint_noticed &inNoticed);
    void peerSaysLeaving(const std::string &inInstance, const std::set<std::uint64_t> &inStarts);
    void updateUnservedRestrictions();
    void prune();
    void reportCold();
    void quarantineReported(const quarantine::quarantine_state &inState);
    void updateQuarantine();
    void destroyLater(std::unique_ptr<forwarded_request> inRequest,
                      std::unique_ptr<http1::server_connection> inConnection);

    front_options mOptions;
    forward_context mContext;
    kernel::timer mPruneTimer;
    http1::listener mListener;
    std::shared_ptr<http1::body_budget> mBodyBudget;
    std::map<std::uint64_t, caller> mCallers;
    std::uint64_t mNextCaller = 1;
    kernel::timer mFirstMessageTimer;
    kernel::timer mHoldTimer;
    core::time_point mHeldSince;
    bool mHasPeers = false;
    /// Whether the wait for the first message of another instance is over. Set only where the held
    /// requests are admitted, so that none is held afterwards.
    bool mFirstMessageWaitEnded = false;
    std::size_t mRunning = 0;
    routing::unserved_restrictions mUnservedRestrictions;
    int mColdEndpoints = 0;
    bool mEndpointsListed = false;
    bool mDraining = false;
    /// Whether connections are closed once they are idle.
    bool mClosesIdle = false;
};

} // namespace corneltally::forwarding
