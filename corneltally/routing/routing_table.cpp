#include "corneltally/routing/routing_table.h"

#include "corneltally/core/digest.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace corneltally::routing {

namespace {

std::string lowerCase(std::string_view inText)
{
    std::string text(inText);
    std::ranges::transform(text, text.begin(), [](char inCharacter) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(inCharacter)));
    });
    return text;
}

std::string routeKey(std::string_view inHost, std::string_view inPrefix)
{
    return std::string(inHost) + " " + std::string(inPrefix);
}

std::string_view pathOf(std::string_view inTarget)
{
    return inTarget.substr(0, inTarget.find_first_of("?#"));
}

std::string_view withoutPort(std::string_view inHost)
{
    return inHost.substr(0, inHost.find(':'));
}

} // namespace

routing_table::routing_table(configuration inConfiguration)
    : mSource(std::move(inConfiguration))
{
    for (std::size_t index = 0; index < mSource.routes.size(); ++index) {
        const route &entry = mSource.routes[index];
        mRoutes.emplace(routeKey(lowerCase(entry.host), entry.pathPrefix), index);
    }
    for (std::size_t index = 0; index < mSource.services.size(); ++index)
        mServices.emplace(mSource.services[index].name, index);
    for (std::size_t index = 0; index < mSource.accounts.size(); ++index) {
        mAccounts.emplace(mSource.accounts[index].name, index);
        for (const std::string &digest : mSource.accounts[index].keyDigests)
            mAccountsByKey.emplace(digest, index);
    }
}

const route *routing_table::findRoute(std::string_view inHost, std::string_view inTarget) const
{
    const std::string host = lowerCase(withoutPort(inHost));
    std::string_view prefix = pathOf(inTarget);
    // Shortens the path by one segment at a time, so that the longest prefix is found first.
    while (true) {
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        prefix = prefix.substr(0, slash + 1);
        const auto found = mRoutes.find(routeKey(host, prefix));
        if (found != mRoutes.end())
            return &mSource.routes[found->second];
        prefix.remove_suffix(1);
    }
}

const service *routing_table::findService(std::string_view inName) const
{
    const auto found = mServices.find(inName);
    return found == mServices.end() ? nullptr : &mSource.services[found->second];
}

const client_account *routing_table::findAccountByKey(std::string_view inKey) const
{
    const auto found = mAccountsByKey.find(core::sha256Hex(inKey));
    return found == mAccountsByKey.end() ? nullptr : &mSource.accounts[found->second];
}

const client_account *routing_table::findAccount(std::string_view inName) const
{
    const auto found = mAccounts.find(inName);
    return found == mAccounts.end() ? nullptr : &mSource.accounts[found->second];
}

const service *routing_table::chooseService(const route &inRoute,
                                            std::string_view inRequestId) const
{
    double total = 0;
    for (const weighted_service &entry : inRoute.services)
        total += std::max(0.0, entry.weight);
    if (total <= 0)
        return nullptr;
    constexpr double cHashRange = 18446744073709551616.0;
    double remaining = static_cast<double>(core::stableHash(inRequestId)) / cHashRange * total;
    const weighted_service *chosen = nullptr;
    for (const weighted_service &entry : inRoute.services) {
        if (entry.weight <= 0)
            continue;
        chosen = &entry;
        remaining -= entry.weight;
        if (remaining < 0)
            break;
    }
    return findService(chosen->service);
}

} // namespace corneltally::routing
