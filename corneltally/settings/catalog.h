#pragma once

#include "corneltally/settings/account_view.h"
#include "corneltally/settings/adapter_view.h"
#include "corneltally/settings/endpoint_view.h"
#include "corneltally/settings/instance_view.h"
#include "corneltally/settings/key_view.h"
#include "corneltally/settings/route_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneltally::settings {

class settings_tree;

/// Typed index of one version of the settings tree, built once per version. Look-ups on the request
/// path take constant time.
class catalog
{
public:
    /// An empty catalog of version 0.
    catalog();
    /// Addresses by endpoint name, which replace those of the tree.
    using address_map = std::map<std::string, std::string, std::less<>>;

    explicit catalog(const settings_tree &inTree, const address_map &inEndpointAddresses = {});

    /// Offset of the last log record in the tree.
    std::uint64_t version() const { return mVersion; }

    /// Look-ups return nullptr if there is no such entry.
    const key_view *findKey(std::string_view inDigest) const;
    const account_view *findAccount(std::string_view inName) const;
    const adapter_view *findAdapter(std::string_view inName) const;
    const route_view *findRoute(std::string_view inPath) const;
    const endpoint_view *findEndpoint(std::string_view inName) const;
    const instance_view *findInstance(std::string_view inName) const;

    /// All entries, ordered by name, so that every instance sees the same order.
    const std::map<std::string, account_view, std::less<>> &accounts() const { return mAccounts; }
    const std::map<std::string, endpoint_view, std::less<>> &endpoints() const
    {
        return mEndpoints;
    }
    const std::map<std::string, instance_view, std::less<>> &instances() const
    {
        return mInstances;
    }
    std::size_t adapterCount() const { return mAdapters.size(); }
    /// All adapters by name, in no order.
    const auto &adapters() const { return mAdapters; }

    /// Fleet-wide limits of the weight store, from the root of the tree.
    double weightLoadsPerSecond() const { return mWeightLoadsPerSecond; }
    int weightLoadsInFlight() const { return mWeightLoadsInFlight; }
    /// Requests that may wait for one endpoint, from the root of the tree.
    int maxQueue() const { return mMaxQueue; }
    std::chrono::milliseconds patientMaxWait() const { return mPatientMaxWait; }
    std::chrono::seconds claimWindow() const { return mClaimWindow; }

private:
    struct name_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view inText) const
        {
            return std::hash<std::string_view>()(inText);
        }
    };
    template <typename Value>
    using name_index = std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

    std::uint64_t mVersion = 0;
    name_index<key_view> mKeysByDigest;
    name_index<adapter_view> mAdapters;
    name_index<route_view> mRoutesByPath;
    std::map<std::string, account_view, std::less<>> mAccounts;
    std::map<std::string, endpoint_view, std::less<>> mEndpoints;
    std::map<std::string, instance_view, std::less<>> mInstances;
    double mWeightLoadsPerSecond = 3;
    int mWeightLoadsInFlight = 8;
    int mMaxQueue = 256;
    std::chrono::milliseconds mPatientMaxWait{20'000};
    std::chrono::seconds mClaimWindow{86'400};
};

} // namespace corneltally::settings
