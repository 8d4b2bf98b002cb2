#pragma once

#include "corneltally/entry/peer_codec.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/http/message.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/membership/peer_table.h"
#include "corneltally/peer/listener.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::entry {

/// What the peers service takes from the process settings.
struct peers_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    http::address listen;
    /// Replaces the addresses of the settings tree, by instance name.
    std::map<std::string, std::string> addresses;
};

/// Holds the connections to the other instances, knows which of them are live, and passes their
/// messages to the services of this process.
///
/// Both ends of a pair connect to each other and either connection carries messages both ways, so
/// that one that went silent is replaced while the other one serves.
class peers_service : public kernel::service
{
public:
    peers_service(kernel::service_registry &inRegistry, peers_options inOptions);
    ~peers_service() override;

    std::string_view name() const override { return "peers"; }
    void start() override;
    std::string dump() const override;

    /// Binds the listener; returns false if the address is taken.
    bool listen();
    unsigned short port() const { return mListener.port(); }

private:
    using link_id = std::uint64_t;

    struct link
    {
        std::unique_ptr<peer::connection> connection;
        /// Expected before the hello of the other end, confirmed after it; empty on an accepted
        /// connection before its hello.
        std::string instance;
        std::uint64_t incarnation = 0;
        bool dialed = false;
        bool helloSent = false;
        /// From an older process of the instance: it only learns which one replaced it.
        bool refused = false;
    };

    struct remote
    {
        http::address address;
        /// The connection that messages are sent on; 0 if there is none.
        link_id active = 0;
        std::optional<core::time_point> lastDial;
    };

    void tick();
    void sendHeartbeats(core::time_point inNow);
    void closeSilentLinks(core::time_point inNow);
    void dialPeers(core::time_point inNow);
    void chooseActive(const std::string &inInstance, core::time_point inNow);
    void publishView(core::time_point inNow);

    void addLink(std::unique_ptr<peer::connection> inConnection, std::string inInstance);
    void closeLink(link_id inLink, std::string_view inReason);
    void closeOlderLinks(const std::string &inInstance, std::uint64_t inIncarnation);

    void receiveFrame(link_id inLink, std::string_view inBody);
    void receiveHello(link_id inLink, const peer_hello &inHello);
    void receiveHeartbeat(const link &inLink, const peer_heartbeat &inHeartbeat);
    void receiveMessage(const std::string &inInstance, const peer_message &inMessage);
    void checkSuperseded(std::uint64_t inIncarnation);

    void send(const peer_send &inSend);
    bool sendTo(const std::string &inInstance, std::string_view inBody);
    void reportLost(const std::string &inInstance);
    void applyCatalog(const catalog_changed &inChange);
    std::string encodeHello(const std::string &inInstance) const;

    kernel::service_registry &mRegistry;
    peers_options mOptions;
    membership::peer_table mTable;
    peer::listener mListener;
    kernel::timer mTick;
    std::map<link_id, link> mLinks;
    std::map<std::string, remote, std::less<>> mRemotes;
    link_id mNextLink = 1;
    std::uint64_t mSettingsVersion = 0;
    core::time_point mLastHeartbeat;
    /// No view is published before this time, so that peers can connect first.
    std::optional<core::time_point> mViewHoldUntil;
    std::optional<peers_changed> mPublished;
    bool mSupersededReported = false;
};

} // namespace corneltally::entry
