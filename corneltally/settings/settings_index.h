#pragma once

#include "corneltally/settings/account_view.h"
#include "corneltally/settings/adapter_view.h"
#include "corneltally/settings/endpoint_view.h"
#include "corneltally/settings/instance_view.h"
#include "corneltally/settings/key_view.h"
#include "corneltally/settings/route_view.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneltally::settings {

class settings_tree;

/// Typed index of one version of the settings tree, built once per version. Look-ups on the request
/// path take constant time. Parts that a change does not affect are shared with the index of the
/// previous version: rebuilding 21,000 adapters would block the event loop for 0.1 s.
class settings_index
{
public:
    /// Creates an empty index of version 0.
    settings_index();
    /// Addresses by endpoint name; they override those of the tree.
    using address_map = std::map<std::string, std::string, std::less<>>;

    /// Shares the unchanged parts of inPrevious, which must index an earlier version of the same
    /// tree and be built with the same addresses.
    explicit settings_index(const settings_tree &inTree,
                            const address_map &inEndpointAddresses = {},
                            const settings_index *inPrevious = nullptr);

    /// Returns a copy in which the endpoints with the given names are marked as leaving.
    settings_index withLeaving(const std::set<std::string, std::less<>> &inNames) const;

    /// Offset of the last log record that is part of the tree.
    std::uint64_t version() const { return mVersion; }

    /// The find functions return nullptr if the entry does not exist.
    const key_view *findKey(std::string_view inDigest) const;
    const account_view *findAccount(std::string_view inName) const;
    const adapter_view *findAdapter(std::string_view inName) const;
    const route_view *findRoute(std::string_view inPath) const;
    const endpoint_view *findEndpoint(std::string_view inName) const;
    const instance_view *findInstance(std::string_view inName) const;

    /// All entries, ordered by name, so that the order is the same on every instance.
    const std::map<std::string, account_view, std::less<>> &accounts() const
    {
        return *mAccounts.entries;
    }
    const std::map<std::string, endpoint_view, std::less<>> &endpoints() const
    {
        return *mEndpoints.entries;
    }
    const std::map<std::string, instance_view, std::less<>> &instances() const
    {
        return *mInstances.entries;
    }
    std::size_t adapterCount() const;
    /// Calls a function with every adapter, in unspecified order.
    template <typename Function>
    void forEachAdapter(Function inFunction) const
    {
        for (const auto &shard : mAdapters) {
            for (const auto &[name, view] : *shard.entries)
                inFunction(view);
        }
    }

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

    template <typename Value>
    using ordered_index = std::map<std::string, Value, std::less<>>;

    /// Version of a part. It changes whenever a node of the part, or a node that the part inherits
    /// from, changes.
    struct part_version
    {
        std::uint64_t nodes = 0;
        std::uint64_t latest = 0;
        std::uint64_t group = 0;
        std::uint64_t root = 0;

        friend bool operator==(const part_version &, const part_version &) = default;
    };
    /// Entries of a part of the tree. They are immutable, so that versions can share them.
    template <typename Entries>
    struct part
    {
        part_version version;
        std::shared_ptr<const Entries> entries = std::make_shared<const Entries>();
    };
    struct part_versions;

    static constexpr std::size_t cAdapterShards = 256;
    static std::size_t sShardOf(std::string_view inAdapter);

    void buildAccounts(const settings_tree &inTree);
    void buildAdapters(const settings_tree &inTree, const part_versions &inVersions);
    void buildRoutes(const settings_tree &inTree);
    void buildEndpoints(const settings_tree &inTree, const address_map &inAddresses);
    void buildInstances(const settings_tree &inTree);
    void readRoot(const settings_tree &inTree);

    std::uint64_t mVersion = 0;
    std::array<part<name_index<adapter_view>>, cAdapterShards> mAdapters;
    part<ordered_index<account_view>> mAccounts;
    /// Rebuilt together with the accounts.
    std::shared_ptr<const name_index<key_view>> mKeysByDigest;
    part<name_index<route_view>> mRoutesByPath;
    part<ordered_index<endpoint_view>> mEndpoints;
    part<ordered_index<instance_view>> mInstances;
    double mWeightLoadsPerSecond = 3;
    int mWeightLoadsInFlight = 8;
    int mMaxQueue = 256;
    std::chrono::milliseconds mPatientMaxWait{20'000};
    std::chrono::seconds mClaimWindow{86'400};
};

} // namespace corneltally::settings
