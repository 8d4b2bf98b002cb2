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

/// Parameters of the peers service.
struct peers_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    http::address listen;
    /// Addresses by instance name that override those of the settings tree.
    std::map<std::string, std::string> addresses;
};

/// Maintains the connections to the other instances, determines which of them are live, and
/// dispatches their messages to the services of this process.
///
/// Both instances of a pair connect to each other, and both connections carry messages in both
/// directions. If one becomes unresponsive, the other is used while it is replaced.
class peers_service : public kernel::service
{
public:
    peers_service(kernel::service_registry &inRegistry, peers_options inOptions);
    ~peers_service() override;

    std::string_view name() const override { return "peers"; }
    void start() override;
    std::string dump() const override;

    /// Binds the listener. Returns false if the address is in use.
    bool listen();
    unsigned short port() const { return mListener.port(); }

private:
    using link_id = std::uint64_t;

    struct link
    {
        std::unique_ptr<peer::connection> connection;
        /// Name of the peer: expected until its hello arrives, confirmed by it. Empty on an
        /// accepted connection before the hello.
        std::string instance;
        std::uint64_t incarnation = 0;
        bool dialed = false;
        bool helloSent = false;
        /// The peer is an outdated process of its instance; its messages are ignored, and the hello
        /// sent to it names the incarnation that replaced it.
        bool refused = false;
    };

    struct remote
    {
        http::address address;
        /// Connection that carries outgoing messages; 0 if there is none.
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
    void applySettings(const settings_changed &inChange);
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
    /// An incomplete view is not published before this time, so that peers can connect first.
    std::optional<core::time_point> mViewHoldUntil;
    std::optional<peers_changed> mPublished;
    bool mSupersededReported = false;
};

} // namespace corneltally::entry
