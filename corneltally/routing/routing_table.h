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

/// Decoded contents of a configuration.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    http1::caller_limits limits;
    /// Whether requests on routes that are not open need a key.
    bool keysRequired = false;

    friend bool operator==(const configuration &, const configuration &) = default;
};

/// Immutable index of a configuration. Looking up a route takes time independent of the number of
/// routes.
class routing_table
{
public:
    routing_table() = default;
    explicit routing_table(configuration inConfiguration);

    const configuration &source() const { return mSource; }
    std::uint64_t version() const { return mSource.version; }

    /// Returns the route of the host with the longest path prefix that matches the target, or null.
    /// The case and port of the host and the query of the target are ignored. Prefixes end with a
    /// slash, so "/a/" matches "/a/b" but not "/a".
    const route *findRoute(std::string_view inHost, std::string_view inTarget) const;
    const service *findService(std::string_view inName) const;
    const client_account *findAccountByKey(std::string_view inKey) const;
    const client_account *findAccount(std::string_view inName) const;

    /// Returns the service for a request. The choice among weighted services depends only on the
    /// request id, so repeated look-ups return the same service.
    const service *chooseService(const route &inRoute, std::string_view inRequestId) const;

private:
    configuration mSource;
    /// Maps "host prefix", with the host in lower case and separated by a space, to the index of
    /// the route.
    std::unordered_map<std::string, std::size_t> mRoutes;
    std::map<std::string, std::size_t, std::less<>> mServices;
    std::map<std::string, std::size_t, std::less<>> mAccounts;
    std::unordered_map<std::string, std::size_t> mAccountsByKey;
};

} // namespace corneltally::routing
