#include "standins/load_mix.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

constexpr std::size_t cBytesPerToken = 4;

std::vector<double> accountShares(const deployment &inDeployment, const load_options &inOptions)
{
    std::vector<double> shares;
    for (const deployment_account &account : inDeployment.accounts()) {
        const bool heavy = account.name == inOptions.heavyAccount;
        shares.push_back(account.shareOfCalls * (heavy ? inOptions.heavyFactor : 1));
    }
    return shares;
}

double sum(const std::vector<double> &inValues)
{
    double total = 0;
    for (const double value : inValues)
        total += value;
    return total;
}

std::vector<double> popularity(long long inAdapters, double inSkew)
{
    std::vector<double> weights;
    for (long long rank = 1; rank <= inAdapters; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -inSkew));
    return weights;
}

std::vector<double> kindShares(const deployment &inDeployment)
{
    std::vector<double> shares;
    for (const deployment_call &call : inDeployment.calls())
        shares.push_back(call.share);
    return shares;
}

template <typename Number>
std::discrete_distribution<Number> distribution(const std::vector<double> &inWeights)
{
    return std::discrete_distribution<Number>(inWeights.begin(), inWeights.end());
}

} // namespace

std::string planned_call::body() const
{
    if (kind->kind == call_kind::order)
        return json{{"order", user}, {"amount", outputTokens}}.dump();
    if (kind->kind == call_kind::idempotent_service)
        return json{{"item", user}}.dump();
    const std::string prompt(static_cast<std::size_t>(promptTokens) * cBytesPerToken, 'x');
    json request{{"model", adapter + "@" + version},
                 {"max_tokens", outputTokens},
                 {"stream", kind->streamed},
                 {"user", user}};
    if (kind->kind == call_kind::chat)
        request["messages"] = {{{"role", "user"}, {"content", prompt}}};
    else
        request["prompt"] = prompt;
    return request.dump();
}

load_mix::load_mix(const deployment &inDeployment, const load_options &inOptions)
    : mDeployment(inDeployment)
    , mPrefix(inDeployment.name().substr(0, 1) + std::to_string(inOptions.seed) + "-")
    , mRandom(static_cast<std::uint64_t>(inOptions.seed))
    , mKinds(distribution<std::size_t>(kindShares(inDeployment)))
    , mAccounts(distribution<std::size_t>(accountShares(inDeployment, inOptions)))
    , mAdapters(distribution<long long>(popularity(inOptions.adapters, inOptions.skew)))
    // A heavy account adds to the load of the others, it does not displace them.
    , mGaps(inOptions.callsPerSecond * sum(accountShares(inDeployment, inOptions)))
{ }

planned_call load_mix::next()
{
    planned_call call;
    call.kind = &mDeployment.calls()[mKinds(mRandom)];
    call.account = &mDeployment.accounts()[mAccounts(mRandom)];
    const long long adapter = mAdapters(mRandom);
    call.adapter = deployment::sAdapterName(adapter);
    call.version = deployment::sAdapterVersion(adapter);
    call.user = mPrefix + std::to_string(mNext++);
    using range = std::uniform_int_distribution<int>;
    call.promptTokens = range(call.kind->minPromptTokens, call.kind->maxPromptTokens)(mRandom);
    call.outputTokens = range(call.kind->minOutputTokens, call.kind->maxOutputTokens)(mRandom);
    return call;
}

double load_mix::nextGap()
{
    return mGaps(mRandom);
}

std::size_t load_mix::pick(std::size_t inCount)
{
    return std::uniform_int_distribution<std::size_t>(0, inCount - 1)(mRandom);
}

} // namespace standins
