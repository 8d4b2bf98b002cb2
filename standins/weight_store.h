#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/exchange.h"
#include "standins/outage.h"
#include "standins/rate_bucket.h"

#include <memory>
#include <set>
#include <string>

namespace standins {

class host;
struct platform_options;

/// Rate-limited weight store. A load over the rate is refused with 429; a load takes a fixed time
/// while few are in flight and proportionally longer beyond that.
class weight_store
{
public:
    weight_store(host &inHost, const platform_options &inOptions);

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

    outage &state() { return mOutage; }
    /// The next loads that are granted fail with 500 after their time.
    void failNext(long long inCount) { mFailNext = inCount; }
    /// Adapters whose loads always fail.
    void failAdapters(std::set<std::string> inNames) { mFailing = std::move(inNames); }

private:
    void startLoad(const std::shared_ptr<corneltally::http::exchange> &inExchange);
    void finishLoad(const std::shared_ptr<corneltally::http::exchange> &inExchange, bool inFails);

    host &mHost;
    outage mOutage;
    rate_bucket mBucket;
    corneltally::core::duration mLoadTime;
    long long mFullSpeedLoads;
    long long mInFlight = 0;
    long long mFailNext = 0;
    std::set<std::string> mFailing;
};

} // namespace standins
