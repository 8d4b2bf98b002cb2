#include "corneltally/settings/settings_index.h"

#include "corneltally/core/digest.h"
#include "corneltally/settings/node_kind.h"
#include "corneltally/settings/settings_tree.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::settings {

namespace {

constexpr std::string_view cAccountsPrefix = "/accounts/";
constexpr std::string_view cAdaptersPrefix = "/adapters/";

/// Reads the effective values of one node. An absent value leaves the target unchanged.
class node_reader
{
public:
    node_reader(const settings_tree &inTree, std::string inPath)
        : mTree(inTree)
        , mPath(std::move(inPath))
    { }

    const std::string &path() const { return mPath; }

    template <typename T>
    void read(std::string_view inKey, T &ioTarget) const
    {
        const auto found = mTree.find(mPath, inKey);
        if (!found)
            return;
        if (const auto *value = std::get_if<T>(&found->value))
            ioTarget = *value;
    }

    void readNumber(std::string_view inKey, double &ioTarget) const
    {
        const auto found = mTree.find(mPath, inKey);
        if (!found)
            return;
        if (const auto *value = std::get_if<std::int64_t>(&found->value))
            ioTarget = static_cast<double>(*value);
        else
            read(inKey, ioTarget);
    }

    template <typename T>
    void readInteger(std::string_view inKey, T &ioTarget) const
    {
        std::int64_t value = -1;
        read(inKey, value);
        if (value >= 0)
            ioTarget = T(value);
    }

    std::string text(std::string_view inKey) const
    {
        std::string value;
        read(inKey, value);
        return value;
    }

private:
    const settings_tree &mTree;
    std::string mPath;
};

account_view readAccount(const node_reader &inNode, std::string inName)
{
    account_view view{.name = std::move(inName)};
    inNode.readNumber("rate_tokens_per_second", view.rateTokensPerSecond);
    inNode.readNumber("burst_tokens", view.burstTokens);
    inNode.readNumber("weight", view.weight);
    inNode.readInteger("max_settings_age_s", view.maxSettingsAgeSeconds);
    return view;
}

key_view readKey(const node_reader &inNode, std::string inAccount)
{
    key_view view{.id = std::string(nameOf(inNode.path())),
                  .account = std::move(inAccount),
                  .digest = inNode.text("digest")};
    inNode.read("withdrawn", view.withdrawn);
    return view;
}

endpoint_kind readKind(const node_reader &inNode)
{
    return inNode.text("kind") == "service" ? endpoint_kind::service : endpoint_kind::model;
}

route_view readRoute(const node_reader &inNode)
{
    route_view view{.name = std::string(nameOf(inNode.path())),
                    .kind = readKind(inNode),
                    .path = inNode.text("path")};
    inNode.read("open", view.open);
    inNode.read("repeatable", view.repeatable);
    inNode.read("require_idempotency_key", view.requireIdempotencyKey);
    if (inNode.text("class") == "patient")
        view.trafficClass = traffic_class::patient;
    inNode.readInteger("timeout_ms", view.timeout);
    inNode.readInteger("stream_idle_ms", view.streamIdle);
    inNode.read("endpoints", view.endpoints);
    inNode.read("accounts", view.accounts);
    return view;
}

endpoint_view readEndpoint(const node_reader &inNode)
{
    endpoint_view view{.name = std::string(nameOf(inNode.path())),
                       .address = inNode.text("address"),
                       .failureDomain = inNode.text("failure_domain"),
                       .kind = readKind(inNode),
                       .baseModel = inNode.text("base_model")};
    inNode.read("checks_fencing", view.checksFencing);
    inNode.readInteger("adapter_slots", view.adapterSlots);
    inNode.readInteger("run_slots", view.runSlots);
    inNode.read("leaving", view.leaving);
    return view;
}

} // namespace

struct settings_index::part_versions
{
    part_version accounts;
    part_version routes;
    part_version endpoints;
    part_version instances;
    std::array<part_version, cAdapterShards> adapters;
    /// Shard and name of every adapter, so that rebuilding changed shards needs no second pass over
    /// the tree.
    std::vector<std::pair<std::size_t, std::string_view>> adapterNames;

    explicit part_versions(const settings_tree &inTree)
    {
        const std::uint64_t root = inTree.nodeVersion("/");
        for (const auto &[group, target] :
             {std::pair("/accounts", &accounts), std::pair("/routes", &routes),
              std::pair("/endpoints", &endpoints), std::pair("/instances", &instances)}) {
            target->group = inTree.nodeVersion(group);
            target->root = root;
        }
        for (part_version &shard : adapters) {
            shard.group = inTree.nodeVersion("/adapters");
            shard.root = root;
        }
        adapterNames.reserve(inTree.nodes().size());
        for (const auto &[path, node] : inTree.nodes()) {
            if (part_version *target = find(path); target != nullptr) {
                ++target->nodes;
                target->latest = std::max(target->latest, node.version);
            }
        }
    }

private:
    part_version *find(std::string_view inPath)
    {
        if (inPath.starts_with(cAdaptersPrefix)) {
            const std::string_view name = inPath.substr(cAdaptersPrefix.size());
            const std::size_t shard = sShardOf(name);
            adapterNames.emplace_back(shard, name);
            return &adapters[shard];
        }
        if (inPath.starts_with(cAccountsPrefix))
            return &accounts;
        if (inPath.starts_with("/routes/"))
            return &routes;
        if (inPath.starts_with("/endpoints/"))
            return &endpoints;
        return inPath.starts_with("/instances/") ? &instances : nullptr;
    }
};

settings_index::settings_index()
    : mKeysByDigest(std::make_shared<const name_index<key_view>>())
{ }

settings_index settings_index::withLeaving(const std::set<std::string, std::less<>> &inNames) const
{
    settings_index copy = *this;
    auto endpoints = std::make_shared<ordered_index<endpoint_view>>(*mEndpoints.entries);
    for (auto &[name, view] : *endpoints)
        view.leaving = view.leaving || inNames.contains(name);
    copy.mEndpoints.entries = std::move(endpoints);
    return copy;
}

settings_index::settings_index(const settings_tree &inTree, const address_map &inEndpointAddresses,
                               const settings_index *inPrevious)
    : settings_index()
{
    if (inPrevious != nullptr) {
        mAdapters = inPrevious->mAdapters;
        mAccounts = inPrevious->mAccounts;
        mKeysByDigest = inPrevious->mKeysByDigest;
        mRoutesByPath = inPrevious->mRoutesByPath;
        mEndpoints = inPrevious->mEndpoints;
        mInstances = inPrevious->mInstances;
    }
    mVersion = inTree.version();
    const part_versions versions(inTree);
    const bool isFirst = inPrevious == nullptr;
    if (isFirst || mAccounts.version != versions.accounts)
        buildAccounts(inTree);
    if (isFirst || mRoutesByPath.version != versions.routes)
        buildRoutes(inTree);
    if (isFirst || mEndpoints.version != versions.endpoints)
        buildEndpoints(inTree, inEndpointAddresses);
    if (isFirst || mInstances.version != versions.instances)
        buildInstances(inTree);
    mAccounts.version = versions.accounts;
    mRoutesByPath.version = versions.routes;
    mEndpoints.version = versions.endpoints;
    mInstances.version = versions.instances;
    buildAdapters(inTree, versions);
    readRoot(inTree);
}

std::size_t settings_index::sShardOf(std::string_view inAdapter)
{
    return core::stableHash(inAdapter) % cAdapterShards;
}

void settings_index::buildAccounts(const settings_tree &inTree)
{
    auto accounts = std::make_shared<ordered_index<account_view>>();
    auto keys = std::make_shared<name_index<key_view>>();
    for (const std::string &path : inTree.subtree("/accounts")) {
        const node_kind kind = kindOf(path);
        const node_reader node(inTree, path);
        if (kind == node_kind::account) {
            const std::string name = path.substr(cAccountsPrefix.size());
            accounts->emplace(name, readAccount(node, name));
        } else if (kind == node_kind::key) {
            const std::string owner(parentPath(parentPath(path)));
            const key_view view = readKey(node, owner.substr(cAccountsPrefix.size()));
            keys->emplace(view.digest, view);
        }
    }
    mAccounts.entries = std::move(accounts);
    mKeysByDigest = std::move(keys);
}

void settings_index::buildAdapters(const settings_tree &inTree, const part_versions &inVersions)
{
    std::array<std::shared_ptr<name_index<adapter_view>>, cAdapterShards> changed;
    bool anyChanged = false;
    for (std::size_t shard = 0; shard < cAdapterShards; ++shard) {
        if (mAdapters[shard].version == inVersions.adapters[shard])
            continue;
        changed[shard] = std::make_shared<name_index<adapter_view>>();
        anyChanged = true;
    }
    if (!anyChanged)
        return;
    for (const auto &[shard, name] : inVersions.adapterNames) {
        if (!changed[shard])
            continue;
        const node_reader node(inTree, std::string(cAdaptersPrefix).append(name));
        changed[shard]->emplace(
            name, adapter_view{std::string(name), node.text("version"), node.text("base_model")});
    }
    for (std::size_t shard = 0; shard < cAdapterShards; ++shard) {
        if (changed[shard])
            mAdapters[shard] = {inVersions.adapters[shard], std::move(changed[shard])};
    }
}

void settings_index::buildRoutes(const settings_tree &inTree)
{
    auto routes = std::make_shared<name_index<route_view>>();
    for (const std::string &name : inTree.children("/routes")) {
        const route_view view = readRoute({inTree, "/routes/" + name});
        routes->emplace(view.path, view);
    }
    mRoutesByPath.entries = std::move(routes);
}

void settings_index::buildEndpoints(const settings_tree &inTree, const address_map &inAddresses)
{
    auto endpoints = std::make_shared<ordered_index<endpoint_view>>();
    for (const std::string &name : inTree.children("/endpoints"))
        endpoints->emplace(name, readEndpoint({inTree, "/endpoints/" + name}));
    for (const auto &[name, address] : inAddresses) {
        if (const auto found = endpoints->find(name); found != endpoints->end())
            found->second.address = address;
    }
    mEndpoints.entries = std::move(endpoints);
}

void settings_index::buildInstances(const settings_tree &inTree)
{
    auto instances = std::make_shared<ordered_index<instance_view>>();
    for (const std::string &name : inTree.children("/instances")) {
        const node_reader node(inTree, "/instances/" + name);
        instances->emplace(
            name, instance_view{name, node.text("peer_address"), node.text("failure_domain")});
    }
    mInstances.entries = std::move(instances);
}

void settings_index::readRoot(const settings_tree &inTree)
{
    const node_reader root(inTree, "/");
    root.readNumber("weight_loads_per_second", mWeightLoadsPerSecond);
    root.readInteger("weight_loads_in_flight", mWeightLoadsInFlight);
    root.readInteger("max_queue", mMaxQueue);
    root.readInteger("patient_max_wait_ms", mPatientMaxWait);
    root.readInteger("claim_window_s", mClaimWindow);
}

std::size_t settings_index::adapterCount() const
{
    std::size_t count = 0;
    for (const auto &shard : mAdapters)
        count += shard.entries->size();
    return count;
}

const key_view *settings_index::findKey(std::string_view inDigest) const
{
    const auto found = mKeysByDigest->find(inDigest);
    return found == mKeysByDigest->end() ? nullptr : &found->second;
}

const account_view *settings_index::findAccount(std::string_view inName) const
{
    const auto found = mAccounts.entries->find(inName);
    return found == mAccounts.entries->end() ? nullptr : &found->second;
}

const adapter_view *settings_index::findAdapter(std::string_view inName) const
{
    const auto &entries = *mAdapters[sShardOf(inName)].entries;
    const auto found = entries.find(inName);
    return found == entries.end() ? nullptr : &found->second;
}

const route_view *settings_index::findRoute(std::string_view inPath) const
{
    const auto found = mRoutesByPath.entries->find(inPath);
    return found == mRoutesByPath.entries->end() ? nullptr : &found->second;
}

const endpoint_view *settings_index::findEndpoint(std::string_view inName) const
{
    const auto found = mEndpoints.entries->find(inName);
    return found == mEndpoints.entries->end() ? nullptr : &found->second;
}

const instance_view *settings_index::findInstance(std::string_view inName) const
{
    const auto found = mInstances.entries->find(inName);
    return found == mInstances.entries->end() ? nullptr : &found->second;
}

} // namespace corneltally::settings
