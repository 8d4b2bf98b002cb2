#pragma once

#include "corneltally/http1/server_connection.h"
#include "corneltally/routing/client_account.h"
#include "corneltally/routing/route.h"
#include "corneltally/routing/service.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corneltally::routing {

/// All that a configuration says, as it was read.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    http1::caller_limits limits;
    /// Whether requests need a key at all.
    bool keysRequired = false;

    friend bool operator==(const configuration &, const configuration &) = default;
};

/// Immutable index of a configuration; look-ups on the path of a request take constant time.
class routing_table
{
public:
    routing_table() = default;
    explicit routing_table(configuration inConfiguration);

    const configuration &source() const { return mSource; }
    std::uint64_t version() const { return mSource.version; }

    /// The route of the host with the longest prefix that begins the path of the target.
    const route *findRoute(std::string_view inHost, std::string_view inTarget) const;
    const service *findService(std::string_view inName) const;
    const client_account *findAccountByKey(std::string_view inKey) const;
    const client_account *findAccount(std::string_view inName) const;

    /// The service that a request goes to. The id decides among weighted services, so that a
    /// request that is looked up again gets the same one.
    const service *chooseService(const route &inRoute, std::string_view inRequestId) const;

private:
    configuration mSource;
    /// Key: host, a space, path prefix.
    std::unordered_map<std::string, std::size_t> mRoutes;
    std::map<std::string, std::size_t, std::less<>> mServices;
    std::map<std::string, std::size_t, std::less<>> mAccounts;
    std::unordered_map<std::string, std::size_t> mAccountsByKey;
};

} // namespace corneltally::routing
