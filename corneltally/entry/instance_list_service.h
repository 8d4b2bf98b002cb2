#pragma once

#include "corneltally/entry/settings_messages.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/platform/instance_list_client.h"

#include <string>
#include <string_view>

namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::entry {

/// Polls the platform's instance list and broadcasts the names that it reports as leaving. While
/// the list cannot be read, the last one remains in effect.
class instance_list_service : public kernel::service
{
public:
    instance_list_service(kernel::service_registry &inRegistry, http::address inPlatform);

    std::string_view name() const override { return "instance_list"; }
    void start() override;
    std::string dump() const override;

private:
    void poll();
    void handleList(const core::result<platform::instance_list_client::name_set> &inLeaving);

    kernel::service_registry &mRegistry;
    platform::instance_list_client mClient;
    kernel::timer mTimer;
    platform::instance_list_client::name_set mLeaving;
    bool mReadable = false;
};

} // namespace corneltally::entry
