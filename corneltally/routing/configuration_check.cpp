#include "corneltally/routing/configuration_check.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>

namespace corneltally::routing {

namespace {

using severity = finding::severity;

/// Names that a message lists before it counts the others.
constexpr std::size_t cMaxListedNames = 5;

std::string listed(const std::vector<std::string> &inNames)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(inNames.size(), cMaxListedNames); ++index)
        text.append(index == 0 ? "" : ", ").append(inNames[index]);
    if (inNames.size() > cMaxListedNames)
        text.append(" and ")
            .append(std::to_string(inNames.size() - cMaxListedNames))
            .append(" more");
    return text;
}

std::string numberText(double inNumber)
{
    std::ostringstream text;
    text.precision(12);
    text << inNumber;
    return text.str();
}

std::string lowerCase(std::string inText)
{
    std::ranges::transform(inText, inText.begin(), [](char inCharacter) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(inCharacter)));
    });
    return inText;
}

/// Collects the findings of one configuration.
class configuration_checker
{
public:
    explicit configuration_checker(const configuration &inConfiguration)
        : mConfiguration(inConfiguration)
    { }

    std::vector<finding> run(const domain_regions *inRegions)
    {
        checkNames();
        for (const route &entry : mConfiguration.routes)
            checkRoute(entry);
        for (const service &entry : mConfiguration.services)
            checkService(entry);
        checkAccounts();
        checkBursts();
        if (mConfiguration.limits.maxHeaderBytes > mConfiguration.limits.maxBodyBytes)
            warn("limits", "the limit on headers is above the limit on bodies",
                 "raise the limit on bodies or lower the one on headers");
        checkCommonRegions();
        if (inRegions != nullptr)
            checkRegionNames(*inRegions);
        return std::move(mFindings);
    }

private:
    void add(severity inKind, std::string inEntry, std::string inMessage, std::string inRemedy)
    {
        mFindings.push_back(
            {inKind, std::move(inEntry), std::move(inMessage), std::move(inRemedy)});
    }
    void fail(std::string inEntry, std::string inMessage, std::string inRemedy)
    {
        add(severity::error, std::move(inEntry), std::move(inMessage), std::move(inRemedy));
    }
    void warn(std::string inEntry, std::string inMessage, std::string inRemedy)
    {
        add(severity::warning, std::move(inEntry), std::move(inMessage), std::move(inRemedy));
    }

    /// Services and accounts are found by their names, so a second one of a name is lost.
    void checkNames()
    {
        std::set<std::string> names;
        for (const service &entry : mConfiguration.services) {
            if (!names.insert("service " + entry.name).second)
                fail("service " + entry.name, "two services have this name", "rename one of them");
        }
        for (const client_account &entry : mConfiguration.accounts) {
            if (!names.insert("account " + entry.name).second)
                fail("account " + entry.name, "two accounts have this name", "rename one of them");
        }
        for (const route &entry : mConfiguration.routes) {
            if (!names.insert("route " + entry.name).second)
                warn("route " + entry.name, "two routes have this name",
                     "rename one of them, so that log lines tell them apart");
        }
    }

    void checkRoute(const route &inRoute)
    {
        const std::string entry = "route " + inRoute.name;
        const std::string place = lowerCase(inRoute.host) + " " + inRoute.pathPrefix;
        const auto [first, isFirst] = mRoutePlaces.try_emplace(place, inRoute.name);
        if (!isFirst)
            warn(entry,
                 "it is hidden by route " + first->second + ", which has the same host and prefix",
                 "remove one of them or change its prefix");
        if (!inRoute.pathPrefix.starts_with('/') || !inRoute.pathPrefix.ends_with('/'))
            warn(entry,
                 "its path prefix does not begin and end with a slash, so no path matches it",
                 "add the slash");
        if (inRoute.host.find(':') != std::string::npos)
            warn(entry, "its host has a port, which is ignored in requests, so none matches it",
                 "remove the port");
        if (inRoute.timeout <= std::chrono::milliseconds::zero())
            fail(entry, "its timeout is 0, so each request is late on arrival", "set a timeout");
        else if (inRoute.targetLatency > inRoute.timeout)
            warn(entry,
                 "its target latency of " + std::to_string(inRoute.targetLatency.count())
                     + " ms is beyond its timeout of " + std::to_string(inRoute.timeout.count())
                     + " ms",
                 "raise the timeout or lower the target");
        checkShares(entry, inRoute);
    }

    void checkShares(const std::string &inEntry, const route &inRoute)
    {
        double total = 0;
        for (const weighted_service &share : inRoute.services) {
            total += std::max(0.0, share.weight);
            if (share.weight > 0)
                mUsedServices.insert(share.service);
            mNamedServices.insert(share.service);
            if (findService(share.service) == nullptr)
                warn(inEntry, "its service " + share.service + " does not exist",
                     "add the service or correct the name");
            if (share.weight <= 0)
                warn(inEntry, "the share of service " + share.service + " has weight 0",
                     "set a weight or remove the share");
        }
        if (total <= 0)
            fail(inEntry, "it has no service with a weight, so all its requests are refused",
                 "name a service or set a weight");
    }

    void checkService(const service &inService)
    {
        const std::string entry = "service " + inService.name;
        if (!mNamedServices.contains(inService.name))
            warn(entry, "no route uses it", "remove it or name it in a route");
        if (!inService.engine || inService.engine->weightsMb <= 0)
            return;
        const engine_profile &engine = *inService.engine;
        for (const base_model &model : engine.models) {
            const double adapters = engine.adapterSlots * model.adapterMb;
            if (model.weightsMb + adapters <= engine.weightsMb)
                continue;
            warn(entry,
                 "model " + model.name + " (" + numberText(model.weightsMb) + " MB) and "
                     + std::to_string(engine.adapterSlots) + " adapter slots ("
                     + numberText(adapters) + " MB) need more than the "
                     + numberText(engine.weightsMb) + " MB for weights",
                 "lower the number of adapter slots or raise the memory for weights");
        }
    }

    void checkAccounts()
    {
        std::map<std::string, std::string> owners;
        for (const client_account &account : mConfiguration.accounts) {
            if (account.keyDigests.empty())
                warn("account " + account.name, "it has no key, so no request can use it",
                     "add a key or remove the account");
            std::set<std::string> others;
            for (const std::string &digest : account.keyDigests) {
                const auto [owner, isFirst] = owners.try_emplace(digest, account.name);
                if (!isFirst && owner->second != account.name)
                    others.insert(owner->second);
            }
            for (const std::string &other : others)
                warn("account " + account.name,
                     "it has a key that account " + other + " has, which gets all its requests",
                     "withdraw the key from one of them");
        }
    }

    /// A request beyond the burst is admitted only while the account's allowance is full.
    void checkBursts()
    {
        double largest = 0;
        for (const service &entry : mConfiguration.services) {
            if (entry.engine && mUsedServices.contains(entry.name))
                largest = std::max(largest, entry.engine->memoryTokens);
        }
        std::vector<std::string> belowLargest;
        for (const client_account &account : mConfiguration.accounts) {
            if (account.ratePerSecond <= 0)
                continue;
            const double plain = account.countsTokens ? account.defaultTokens : 1;
            if (account.burst < plain)
                warn("account " + account.name,
                     "its burst of " + numberText(account.burst)
                         + " is below the charge of a plain request, " + numberText(plain),
                     "raise the burst");
            else if (account.countsTokens && account.burst < largest)
                belowLargest.push_back(account.name);
        }
        if (!belowLargest.empty())
            warn(belowLargest.size() == 1 ? "account " + belowLargest.front() : "accounts",
                 "the burst is below the " + numberText(largest)
                     + " tokens of the largest request that an engine can take, which is admitted "
                       "only while the allowance is full: "
                     + listed(belowLargest),
                 "raise the burst if these accounts send such requests");
    }

    void checkCommonRegions()
    {
        using names_by_regions = std::map<std::vector<std::string>, std::vector<std::string>>;
        names_by_regions routes;
        names_by_regions accounts;
        for (const route &entry : mConfiguration.routes) {
            if (entry.allowedRegions)
                routes[*entry.allowedRegions].push_back(entry.name);
        }
        for (const client_account &entry : mConfiguration.accounts) {
            if (entry.allowedRegions)
                accounts[*entry.allowedRegions].push_back(entry.name);
        }
        for (const auto &[ofRoute, routeNames] : routes) {
            for (const auto &[ofAccount, accountNames] : accounts) {
                const client_account account{.allowedRegions = ofAccount};
                // A restriction that allows nothing by itself is reported as such.
                if (ofRoute.empty() || ofAccount.empty()
                    || !region_restriction({.allowedRegions = ofRoute}, &account).isEmpty())
                    continue;
                warn((routeNames.size() == 1 ? "route " : "routes ") + listed(routeNames),
                     "no allowed region in common with "
                         + std::string(accountNames.size() == 1 ? "account " : "accounts ")
                         + listed(accountNames) + ", so all their requests here are refused",
                     "allow a common region");
            }
        }
    }

    void checkRegionNames(const domain_regions &inRegions)
    {
        std::set<std::string> known;
        for (const auto &[domain, region] : inRegions)
            known.insert(region);
        const auto check = [&](const std::string &inEntry,
                               const std::optional<std::vector<std::string>> &inAllowed) {
            if (!inAllowed)
                return;
            std::vector<std::string> unknown;
            for (const std::string &region : *inAllowed) {
                if (!known.contains(region))
                    unknown.push_back(region);
            }
            if (unknown.empty())
                return;
            const bool isServed = unknown.size() < inAllowed->size();
            warn(inEntry,
                 "no failure domain of the settings is in its allowed "
                     + std::string(unknown.size() == 1 ? "region " : "regions ") + listed(unknown)
                     + (isServed ? "" : ", so all its requests are refused"),
                 "correct the region or add the failure domain to the settings");
        };
        for (const route &entry : mConfiguration.routes)
            check("route " + entry.name, entry.allowedRegions);
        for (const client_account &entry : mConfiguration.accounts)
            check("account " + entry.name, entry.allowedRegions);
    }

    const service *findService(const std::string &inName) const
    {
        const auto found = std::ranges::find(mConfiguration.services, inName, &service::name);
        return found == mConfiguration.services.end() ? nullptr : &*found;
    }

    const configuration &mConfiguration;
    std::vector<finding> mFindings;
    /// Host and prefix of each route, with the name of the first one that has them.
    std::map<std::string, std::string> mRoutePlaces;
    /// Services that routes name, and those among them with a weight.
    std::set<std::string> mNamedServices;
    std::set<std::string> mUsedServices;
};

} // namespace

std::vector<finding> findingsOf(const std::vector<member_fault> &inFaults)
{
    using enum member_fault::fault_kind;
    std::vector<finding> findings;
    std::map<std::string, std::vector<std::string>> unused;
    for (const member_fault &fault : inFaults) {
        const std::string member = "\"" + fault.member + "\"";
        switch (fault.kind) {
        case syntax:
            findings.push_back({severity::error, "line " + std::to_string(fault.line),
                                "the document is not valid JSON", "correct the syntax"});
            break;
        case missing:
            findings.push_back({severity::error, fault.entry, member + " is missing",
                                "add it with " + fault.expected});
            break;
        case wrong_type:
        case negative:
            findings.push_back({severity::error, fault.entry, member + " is not " + fault.expected,
                                "correct its value"});
            break;
        case unknown_value:
            findings.push_back({severity::warning, fault.entry,
                                member + " is none of " + fault.expected,
                                "use one of them; others count as the most cautious"});
            break;
        case empty_list:
            findings.push_back({severity::warning, fault.entry,
                                member + " is empty, which restricts nothing",
                                "remove it or add entries"});
            break;
        case unknown_member:
            unused[fault.member].push_back(fault.entry);
            break;
        }
    }
    for (const auto &[member, entries] : unused)
        findings.push_back({severity::warning, listed(entries),
                            "\"" + member + "\" is not known and has no effect",
                            "correct the name or remove it"});
    return findings;
}

std::vector<finding> checkConfiguration(const configuration &inConfiguration,
                                        const domain_regions *inRegions)
{
    return configuration_checker(inConfiguration).run(inRegions);
}

} // namespace corneltally::routing
