#pragma once

#include "corneltally/catalog/catalog_messages.h"
#include "corneltally/core/boot_clock.h"
#include "corneltally/fleet/domain_links.h"
#include "corneltally/fleet/fleet_records.h"
#include "corneltally/fleet/mesh_messages.h"
#include "corneltally/fleet/summary_builder.h"
#include "corneltally/http1/address.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/peer/listener.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::core {
class metrics;
}
namespace corneltally::kernel {
class service_registry;
}
namespace corneltally::peer {
class connection;
}

namespace corneltally::fleet {

struct mesh_options
{
    member self;
    http1::address listen;
    /// Addresses at which other instances may be reached before their records are read.
    std::vector<std::string> seeds;
};

/// Manages the connections between instances. Each instance sends on the connections that it opens
/// to the others and receives on those that the others open to it. The instances of a failure
/// domain exchange heartbeats; between domains, summaries pass between one instance of each, which
/// relays them within its own. A connection to an instance of another domain is opened when there
/// is something to send and closed when it is idle.
class mesh_service final : public kernel::service
{
public:
    static constexpr std::string_view cName = "mesh";

    mesh_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                 mesh_options inOptions);
    ~mesh_service() override;

    std::string_view name() const override { return cName; }
    void start() override;

    bool listen();
    unsigned short port() const { return mListener.port(); }

    void setDraining() { mDraining = true; }

private:
    /// A connection opened by this instance.
    struct outgoing
    {
        std::unique_ptr<peer::connection> connection;
        core::time_point openedAt;
        core::time_point retryAt;
        core::duration retryPause{};
        core::time_point usedAt;
    };
    struct known_instance
    {
        member description;
        outgoing link;
        /// Whether the store has a record of the instance.
        bool recorded = false;
        std::optional<core::time_point> receivedAt;
        /// When the instance last reported this one as live.
        core::time_point reportedLiveAt;
        bool live = false;
        /// Whether the instance runs a release that exchanges heartbeats with all instances.
        bool sendsToAll = false;
        /// Version of the exchange that the instance supports, by its first message or a summary.
        std::uint16_t protocol = 0;
        /// Whether the instance reported that its reads of the store fail.
        bool storeFailing = false;
    };
    struct incoming
    {
        std::unique_ptr<peer::connection> connection;
        std::string instance;
        std::uint64_t incarnation = 0;
    };

    void topicUpdated(const catalog::fleet_topic_updated &inUpdate);
    void updateMember(const member &inMember, bool inRecorded);
    void removeMember(const std::string &inInstance);
    void recordSelf();
    void dropSilentMembers(core::time_point inNow);
    void accepted(std::unique_ptr<peer::connection> inConnection);
    void frameReceived(std::uint64_t inLink, std::string_view inBody);
    void helloReceived(incoming &ioLink, const hello &inHello);
    void heartbeatReceived(const std::string &inInstance, const heartbeat &inHeartbeat);
    void summaryReceived(const std::string &inFrom, domain_summary inSummary,
                         std::string_view inBody);
    bool isNewSummary(const domain_summary &inSummary);
    void setLive(const std::string &inInstance, known_instance &ioKnown, core::time_point inNow);
    bool isLocal(const known_instance &inKnown) const;
    bool exchangesHeartbeats(const known_instance &inKnown) const;
    void openLink(outgoing &ioLink, const std::string &inAddress, const std::string &inName);
    void linkClosed(const std::string &inName);
    void maintainLinks(core::time_point inNow);
    void tick();
    void sendHeartbeats(const heartbeat_part &inPart);
    void sendSummaries(core::time_point inNow);
    void send(const mesh_send &inSend);
    void sendTo(known_instance &ioTarget, std::string_view inBody);
    enum class audience { all_releases, current_release };
    void sendToLocalPeers(std::string_view inBody, audience inAudience);
    void relayFleetRecords(const catalog::fleet_records_relay &inRelay);
    void updateReader();
    void publishInstances();
    std::map<std::string, std::string> linkableInstances() const;

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    mesh_options mOptions;
    peer::listener mListener;
    kernel::timer mTimer;
    std::map<std::string, known_instance> mInstances;
    std::map<std::string, outgoing> mSeedLinks;
    std::map<std::uint64_t, incoming> mIncoming;
    std::uint64_t mNextIncoming = 1;
    domain_links mLinks;
    summary_builder mSummary;
    /// Last summary of each sender: its incarnation and sequence.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> mLastSummaries;
    catalog::operator_progress mOperatorProgress;
    store::position mTopicEnd;
    bool mTopicLoaded = false;
    bool mSelfRecorded = false;
    bool mAppendInFlight = false;
    bool mDraining = false;
    bool mStoreFailing = false;
    std::optional<catalog::reader_changed> mReader;
    std::optional<instances_changed> mPublished;
    bool mInstancesChanged = true;
};

} // namespace corneltally::fleet
