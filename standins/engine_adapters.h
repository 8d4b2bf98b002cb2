#pragma once

#include "corneltally/http/client.h"
#include "corneltally/http/exchange.h"
#include "standins/adapter_ref.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace standins {

class engine_batch;
class host;
struct engine_options;

/// The few adapter slots of the engine: loads from the weight store, unloads.
class engine_adapters
{
public:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    engine_adapters(host &inHost, engine_batch &inBatch, const engine_options &inOptions);

    bool isResident(const adapter_ref &inModel) const { return mResident.contains(inModel); }
    const std::set<adapter_ref> &resident() const { return mResident; }
    std::vector<adapter_ref> loading() const;

    /// Answers when the adapter is resident or the load failed.
    void load(const adapter_ref &inModel, const exchange_pointer &inExchange);
    void unload(const adapter_ref &inModel, const exchange_pointer &inExchange);

    void failNext(long long inCount) { mFailNext = inCount; }
    /// Loses all resident adapters and their runs, as after a cold start.
    void clear();

private:
    void fetchWeights(const adapter_ref &inModel);
    void finishLoad(const adapter_ref &inModel, int inStatus, const std::string &inReason);

    host &mHost;
    engine_batch &mBatch;
    corneltally::http::client mClient;
    corneltally::http::address mPlatform;
    std::size_t mSlots;
    double mLoadMs;
    long long mFailNext = 0;
    std::set<adapter_ref> mResident;
    std::map<adapter_ref, std::vector<exchange_pointer>> mLoading;
};

} // namespace standins
