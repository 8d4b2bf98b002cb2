#pragma once

#include "corneltally/http/message.h"
#include "standins/link_faults.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct evconnlistener;

namespace corneltally::kernel {
class event_loop;
}

namespace standins {

class proxy_connection;

/// A listening port whose connections are forwarded to a target, with faults that can be switched
/// while it runs.
class proxy_link
{
public:
    explicit proxy_link(corneltally::kernel::event_loop &inLoop);
    ~proxy_link();
    proxy_link(const proxy_link &) = delete;
    proxy_link &operator=(const proxy_link &) = delete;

    unsigned short port() const { return mPort; }
    void setTarget(corneltally::http::address inTarget) { mTarget = std::move(inTarget); }
    const corneltally::http::address &target() const { return mTarget; }
    std::size_t connectionCount() const { return mConnections.size(); }
    bool isCut() const { return mListener == nullptr; }

    /// Closes all connections and refuses new ones.
    void cut();
    void setFaults(std::optional<link_direction> inDirection, const direction_faults &inFaults);
    /// Open connections silently discard a direction from now on; new connections work.
    void halfOpen(std::optional<link_direction> inDirection);
    /// Ends all faults. Connections that went silent stay silent, and the standing delay remains.
    void heal();
    /// Delay of both directions that heal() restores, for links between failure domains.
    void setStandingDelay(corneltally::core::duration inDelay);

private:
    void startListening();
    void accept(int inSocket);
    void applyFaults();

    corneltally::kernel::event_loop &mLoop;
    int mReservation = -1;
    unsigned short mPort = 0;
    evconnlistener *mListener = nullptr;
    corneltally::http::address mTarget;
    corneltally::core::duration mStandingDelay{};
    link_faults mFaults;
    std::uint64_t mNextConnection = 1;
    std::map<std::uint64_t, std::unique_ptr<proxy_connection>> mConnections;
};

} // namespace standins
