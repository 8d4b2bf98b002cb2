#pragma once

#include "corneltally/endpoint/engine_client.h"
#include "corneltally/entry/lease_sync.h"
#include "corneltally/entry/owned_endpoint.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/http/message.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/ownership/owner_choice.h"
#include "corneltally/platform/log_client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::entry {

/// Parameters of the owner service.
struct owner_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Address of the platform, for leases.
    http::address platform;
    /// Treats adapters whose use is unknown as unused; only for tests.
    bool ignoreUnknownUse = false;
};

/// Determines which endpoints this instance owns and connects them with the other services and with
/// peers.
class owner_service : public kernel::service
{
public:
    owner_service(kernel::service_registry &inRegistry, owner_options inOptions);
    ~owner_service() override;

    std::string_view name() const override { return "owner"; }
    void start() override;
    std::string dump() const override;

private:
    using engine_endpoint = owned_endpoint<endpoint::engine_client>;

    struct owned_entry
    {
        std::unique_ptr<engine_endpoint> state;
        /// Declared after the state and thus destroyed first, since its calls report to the state.
        std::unique_ptr<endpoint::engine_client> engine;
        std::string address;
        /// The settings tree has another address or no longer has the endpoint.
        bool obsolete = false;
        std::optional<endpoint_status> published;
        core::time_point publishedAt;
    };

    void handleMessages();
    void applySettings(const settings_changed &inChange);
    void applyPeers(const peers_changed &inChange);
    void startDrain();
    void submit(const run_submit &inSubmit);
    void cancel(const run_cancel &inCancel);
    void handlePeerStatus(const endpoint_status &inStatus);

    /// Recomputes which endpoints are assigned to this instance.
    void chooseEndpoints();
    std::vector<ownership::owner_candidate> candidates() const;
    void assignEndpoint(const settings::endpoint_view &inView);
    owned_endpoint_hooks makeHooks(const std::string &inEndpoint);
    void admitLoad(const std::string &inEndpoint, const std::string &inAdapter,
                   const std::string &inVersion);
    void sendEvent(const std::string &inOrigin, run_event inEvent);

    void tick();
    void publish(owned_entry &ioEntry, core::time_point inNow);
    void publishStatusesTo(const std::string &inInstance);
    void removeUnused();
    void reportDrained();

    kernel::service_registry &mRegistry;
    owner_options mOptions;
    std::shared_ptr<const settings::settings_index> mSettingsIndex;
    peers_changed mPeers;
    std::map<std::string, owned_entry, std::less<>> mOwned;
    /// Highest fencing number that peers published for each endpoint.
    std::map<std::string, std::uint64_t, std::less<>> mKnownFences;
    /// Number of entries created; gives each lease its own range of sequence numbers.
    std::uint64_t mCreatedCount = 0;
    bool mDraining = false;
    bool mDrainReported = false;
    std::size_t mReturnedRuns = 0;
    platform::log_client mLog;
    lease_sync<platform::log_client> mLeases;
    kernel::timer mTick;
};

} // namespace corneltally::entry
