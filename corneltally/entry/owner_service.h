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
    /// Takes adapters whose use is not known for unused; only for tests.
    bool ignoreUnknownUse = false;
};

/// Owns endpoints: decides which ones this instance owns, and connects their logic with the other
/// services and with peers.
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
        /// Declared after the state, so that its calls end before the state that they report to.
        std::unique_ptr<endpoint::engine_client> engine;
        std::string address;
        /// The tree names another address, or the endpoint no more.
        bool obsolete = false;
        std::optional<endpoint_status> published;
        core::time_point publishedAt;
    };

    void handleMessages();
    void applyCatalog(const catalog_changed &inChange);
    void applyPeers(const peers_changed &inChange);
    void startDrain();
    void submit(const run_submit &inSubmit);
    void cancel(const run_cancel &inCancel);
    void handlePeerStatus(const endpoint_status &inStatus);

    /// Chooses again which endpoints this instance owns.
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
    std::shared_ptr<const settings::catalog> mCatalog;
    peers_changed mPeers;
    std::map<std::string, owned_entry, std::less<>> mOwned;
    /// Greatest fencing number that was published for each endpoint.
    std::map<std::string, std::uint64_t, std::less<>> mKnownFences;
    /// Endpoints created so far; keeps the sequence numbers of their leases apart.
    std::uint64_t mCreatedCount = 0;
    bool mDraining = false;
    bool mDrainReported = false;
    std::size_t mReturnedRuns = 0;
    platform::log_client mLog;
    lease_sync<platform::log_client> mLeases;
    kernel::timer mTick;
};

} // namespace corneltally::entry
