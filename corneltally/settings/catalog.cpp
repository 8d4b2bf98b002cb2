#include "corneltally/settings/catalog.h"

#include "corneltally/settings/node_kind.h"
#include "corneltally/settings/settings_tree.h"

namespace corneltally::settings {

namespace {

/// Reads values of one node, with inheritance. Absent values leave the target's default.
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

catalog::catalog() = default;

catalog::catalog(const settings_tree &inTree, const address_map &inEndpointAddresses)
    : mVersion(inTree.version())
{
    constexpr std::string_view cAccounts = "/accounts/";
    for (const std::string &path : inTree.subtree("/accounts")) {
        const node_kind kind = kindOf(path);
        const node_reader node(inTree, path);
        if (kind == node_kind::account) {
            const std::string name = path.substr(cAccounts.size());
            mAccounts.emplace(name, readAccount(node, name));
        } else if (kind == node_kind::key) {
            const std::string owner(parentPath(parentPath(path)));
            const key_view view = readKey(node, owner.substr(cAccounts.size()));
            mKeysByDigest.emplace(view.digest, view);
        }
    }
    for (const std::string &name : inTree.children("/adapters")) {
        const node_reader node(inTree, "/adapters/" + name);
        mAdapters.emplace(name, adapter_view{name, node.text("version"), node.text("base_model")});
    }
    for (const std::string &name : inTree.children("/routes")) {
        const route_view view = readRoute({inTree, "/routes/" + name});
        mRoutesByPath.emplace(view.path, view);
    }
    for (const std::string &name : inTree.children("/endpoints"))
        mEndpoints.emplace(name, readEndpoint({inTree, "/endpoints/" + name}));
    for (const auto &[name, address] : inEndpointAddresses) {
        if (const auto found = mEndpoints.find(name); found != mEndpoints.end())
            found->second.address = address;
    }
    for (const std::string &name : inTree.children("/instances")) {
        const node_reader node(inTree, "/instances/" + name);
        mInstances.emplace(
            name, instance_view{name, node.text("peer_address"), node.text("failure_domain")});
    }
    const node_reader root(inTree, "/");
    root.readNumber("weight_loads_per_second", mWeightLoadsPerSecond);
    root.readInteger("weight_loads_in_flight", mWeightLoadsInFlight);
    root.readInteger("max_queue", mMaxQueue);
    root.readInteger("patient_max_wait_ms", mPatientMaxWait);
    root.readInteger("claim_window_s", mClaimWindow);
}

const key_view *catalog::findKey(std::string_view inDigest) const
{
    const auto found = mKeysByDigest.find(inDigest);
    return found == mKeysByDigest.end() ? nullptr : &found->second;
}

const account_view *catalog::findAccount(std::string_view inName) const
{
    const auto found = mAccounts.find(inName);
    return found == mAccounts.end() ? nullptr : &found->second;
}

const adapter_view *catalog::findAdapter(std::string_view inName) const
{
    const auto found = mAdapters.find(inName);
    return found == mAdapters.end() ? nullptr : &found->second;
}

const route_view *catalog::findRoute(std::string_view inPath) const
{
    const auto found = mRoutesByPath.find(inPath);
    return found == mRoutesByPath.end() ? nullptr : &found->second;
}

const endpoint_view *catalog::findEndpoint(std::string_view inName) const
{
    const auto found = mEndpoints.find(inName);
    return found == mEndpoints.end() ? nullptr : &found->second;
}

const instance_view *catalog::findInstance(std::string_view inName) const
{
    const auto found = mInstances.find(inName);
    return found == mInstances.end() ? nullptr : &found->second;
}

} // namespace corneltally::settings
