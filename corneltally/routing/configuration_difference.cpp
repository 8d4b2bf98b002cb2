#include "corneltally/routing/configuration_difference.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace corneltally::routing {

namespace {

/// Properties of an entry with their values as text, in the order in which they are reported.
using properties = std::vector<std::pair<std::string_view, std::string>>;

std::string toText(double inNumber)
{
    std::ostringstream text;
    text.precision(12);
    text << inNumber;
    return text.str();
}

std::string toText(std::chrono::milliseconds inTime)
{
    return std::to_string(inTime.count()) + " ms";
}

std::string toText(bool inFlag)
{
    return inFlag ? "yes" : "no";
}

std::string toText(repetition inKind)
{
    switch (inKind) {
    case repetition::repeatable:
        return "repeatable";
    case repetition::once:
        return "once";
    case repetition::once_stream:
        return "stream";
    case repetition::resumable_stream:
        break;
    }
    return "resumable stream";
}

std::string toText(const std::optional<std::vector<std::string>> &inRegions)
{
    if (!inRegions)
        return "all";
    std::string text;
    for (const std::string &region : *inRegions)
        text.append(text.empty() ? "" : ", ").append(region);
    return text.empty() ? "none" : text;
}

properties propertiesOf(const route &inRoute)
{
    std::string services;
    for (const weighted_service &share : inRoute.services)
        services.append(services.empty() ? "" : ", ")
            .append(share.service + " " + toText(share.weight));
    return {{"host", inRoute.host},
            {"path prefix", inRoute.pathPrefix},
            {"kind", toText(inRoute.kind)},
            {"timeout", toText(inRoute.timeout)},
            {"target latency", toText(inRoute.targetLatency)},
            {"target pause", toText(inRoute.targetPause)},
            {"priority", std::to_string(inRoute.priority)},
            {"endpoints for each request", std::to_string(inRoute.maxEndpoints)},
            {"served without a key", toText(inRoute.open)},
            {"services", services},
            {"allowed regions", toText(inRoute.allowedRegions)}};
}

properties propertiesOf(const service &inService)
{
    properties found{
        {"connections for each endpoint", std::to_string(inService.maxConnections)},
        {"cold time", toText(std::chrono::duration<double>(inService.coldTime).count()) + " s"},
        {"requests per second while cold", toText(inService.coldPerSecond)},
        {"engines", toText(inService.engine.has_value())}};
    const engine_profile engine = inService.engine.value_or(engine_profile());
    std::string models;
    for (const base_model &model : engine.models)
        models.append(models.empty() ? "" : ", ")
            .append(model.name + " (" + toText(model.weightsMb) + " MB, "
                    + std::to_string(model.adapters) + " adapters of " + toText(model.adapterMb)
                    + " MB)");
    found.insert(found.end(),
                 {{"batch", std::to_string(engine.batch)},
                  {"tokens of the KV cache", toText(engine.memoryTokens)},
                  {"memory for weights", toText(engine.weightsMb) + " MB"},
                  {"adapter slots", std::to_string(engine.adapterSlots)},
                  {"models", models}});
    return found;
}

properties propertiesOf(const client_account &inAccount)
{
    return {
        {"priority", inAccount.priority ? std::to_string(*inAccount.priority) : "of the route"},
        {"rate per second", inAccount.ratePerSecond > 0 ? toText(inAccount.ratePerSecond) : "none"},
        {"burst", toText(inAccount.burst)},
        {"rate counts tokens", toText(inAccount.countsTokens)},
        {"tokens of a plain request", toText(inAccount.defaultTokens)},
        {"allowed regions", toText(inAccount.allowedRegions)}};
}

properties propertiesOf(const http1::caller_limits &inLimits)
{
    const auto inMs = [](core::duration inTime) {
        return toText(std::chrono::duration_cast<std::chrono::milliseconds>(inTime));
    };
    return {{"bytes of headers", std::to_string(inLimits.maxHeaderBytes)},
            {"bytes of a body", std::to_string(inLimits.maxBodyBytes)},
            {"time for headers", inMs(inLimits.headerTimeout)},
            {"idle time", inMs(inLimits.idleTimeout)}};
}

/// Number of keys that are only in the first account.
std::size_t keysOnlyIn(const client_account &inFirst, const client_account &inSecond)
{
    const std::set<std::string> others(inSecond.keyDigests.begin(), inSecond.keyDigests.end());
    const std::set<std::string> own(inFirst.keyDigests.begin(), inFirst.keyDigests.end());
    return static_cast<std::size_t>(std::ranges::count_if(
        own, [&](const std::string &inDigest) { return !others.contains(inDigest); }));
}

class difference_list
{
public:
    void add(std::string inEntry, std::string inMessage)
    {
        mFindings.push_back(
            {finding::severity::difference, std::move(inEntry), std::move(inMessage), {}});
    }

    void addChanged(const std::string &inEntry, const properties &inBefore,
                    const properties &inAfter)
    {
        for (std::size_t index = 0; index < inBefore.size(); ++index) {
            if (inBefore[index].second != inAfter[index].second)
                add(inEntry,
                    std::string(inBefore[index].first) + ": " + inBefore[index].second + " -> "
                        + inAfter[index].second);
        }
    }

    void addKeys(const std::string &inEntry, const client_account &inBefore,
                 const client_account &inAfter)
    {
        const std::size_t added = keysOnlyIn(inAfter, inBefore);
        const std::size_t removed = keysOnlyIn(inBefore, inAfter);
        if (added + removed > 0)
            add(inEntry,
                "keys: " + std::to_string(added) + " added, " + std::to_string(removed)
                    + " removed");
    }

    /// Entries of one kind, matched by their names. Of several with one name the first one counts.
    template <typename Entry>
    void addEntries(std::string_view inKind, const std::vector<Entry> &inBefore,
                    const std::vector<Entry> &inAfter)
    {
        std::map<std::string, std::pair<const Entry *, const Entry *>> entries;
        const auto keepFirst = [](const Entry *&ioKept, const Entry &inEntry) {
            if (ioKept == nullptr)
                ioKept = &inEntry;
        };
        for (const Entry &entry : inBefore)
            keepFirst(entries[entry.name].first, entry);
        for (const Entry &entry : inAfter)
            keepFirst(entries[entry.name].second, entry);
        for (const auto &[name, versions] : entries) {
            const std::string text = std::string(inKind) + " " + name;
            const auto &[before, after] = versions;
            if (before == nullptr) {
                add(text, "added");
            } else if (after == nullptr) {
                add(text, "removed");
            } else {
                addChanged(text, propertiesOf(*before), propertiesOf(*after));
                if constexpr (std::is_same_v<Entry, client_account>)
                    addKeys(text, *before, *after);
            }
        }
    }

    std::vector<finding> take() { return std::move(mFindings); }

private:
    std::vector<finding> mFindings;
};

} // namespace

std::vector<finding> compareConfigurations(const configuration &inInForce,
                                           const configuration &inNew)
{
    difference_list differences;
    differences.addEntries("route", inInForce.routes, inNew.routes);
    differences.addEntries("service", inInForce.services, inNew.services);
    differences.addEntries("account", inInForce.accounts, inNew.accounts);
    differences.addChanged("limits", propertiesOf(inInForce.limits), propertiesOf(inNew.limits));
    if (inInForce.keysRequired != inNew.keysRequired)
        differences.add("accounts",
                        inNew.keysRequired ? "requests need a key" : "requests need no key");
    std::vector<finding> findings = differences.take();
    if (inNew.version <= inInForce.version)
        findings.push_back({finding::severity::error, "version",
                            std::to_string(inNew.version) + " is not above "
                                + std::to_string(inInForce.version)
                                + ", the one in force, so instances ignore the document",
                            "raise the version"});
    return findings;
}

} // namespace corneltally::routing
