#pragma once

#include "standins/deployment.h"
#include "standins/load_options.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace standins {

/// A call that the load tool is going to make.
struct planned_call
{
    const deployment_call *kind = nullptr;
    const deployment_account *account = nullptr;
    std::string adapter;
    std::string version;
    /// Unique name of the call, sent as "user", "order" or "item".
    std::string user;
    int promptTokens = 1;
    int outputTokens = 1;

    /// Body of the HTTP request.
    std::string body() const;
};

/// Draws calls from a deployment's mix. The same seed gives the same sequence.
class load_mix
{
public:
    load_mix(const deployment &inDeployment, const load_options &inOptions);

    planned_call next();
    /// Seconds until the next arrival of an open-loop source.
    double nextGap();
    std::size_t pick(std::size_t inCount);

private:
    const deployment &mDeployment;
    std::string mPrefix;
    std::mt19937_64 mRandom;
    std::uint64_t mNext = 1;
    std::discrete_distribution<std::size_t> mKinds;
    std::discrete_distribution<std::size_t> mAccounts;
    std::discrete_distribution<long long> mAdapters;
    std::exponential_distribution<double> mGaps;
};

} // namespace standins
