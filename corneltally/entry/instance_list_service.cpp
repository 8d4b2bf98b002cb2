#include "corneltally/entry/instance_list_service.h"

#include "corneltally/kernel/service_registry.h"

#include <utility>

namespace corneltally::entry {

namespace {

/// Work for a leaving endpoint must end within 3 s, and the platform's list is itself delayed.
constexpr core::duration cPollPeriod = std::chrono::milliseconds(500);

} // namespace

instance_list_service::instance_list_service(kernel::service_registry &inRegistry,
                                             http::address inPlatform)
    : mRegistry(inRegistry)
    , mClient(inRegistry.loop(), std::move(inPlatform))
    , mTimer(inRegistry.loop(), [this] { poll(); })
{ }

void instance_list_service::start()
{
    poll();
}

void instance_list_service::poll()
{
    mClient.readLeaving([this](const auto &inLeaving) {
        handleList(inLeaving);
        mTimer.startOnce(cPollPeriod);
    });
}

void instance_list_service::handleList(
    const core::result<platform::instance_list_client::name_set> &inLeaving)
{
    mReadable = inLeaving.hasValue();
    if (!mReadable || *inLeaving == mLeaving)
        return;
    mLeaving = *inLeaving;
    mRegistry.broadcast(endpoints_leaving{mLeaving});
}

std::string instance_list_service::dump() const
{
    return "{\"readable\":" + std::string(mReadable ? "true" : "false")
        + ",\"leaving\":" + std::to_string(mLeaving.size()) + "}";
}

} // namespace corneltally::entry
