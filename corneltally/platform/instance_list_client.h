#pragma once

#include "corneltally/core/result.h"
#include "corneltally/http/client.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace corneltally::platform {

/// HTTP client of the platform's list of live and leaving processes. The list may be outdated.
class instance_list_client
{
public:
    using name_set = std::set<std::string, std::less<>>;
    using handler = std::function<void(const core::result<name_set> &inLeaving)>;

    instance_list_client(kernel::event_loop &inLoop, http::address inPlatform);

    /// Reads the names of all processes that the platform lists as leaving.
    void readLeaving(handler inHandler);

private:
    http::client mClient;
    http::address mPlatform;
};

/// Parses the list and returns the names of the processes with the state "leaving".
core::result<instance_list_client::name_set> parseLeaving(const std::string &inText);

} // namespace corneltally::platform
