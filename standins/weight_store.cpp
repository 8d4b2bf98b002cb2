#include "standins/weight_store.h"

#include "standins/host.h"
#include "standins/platform_options.h"

#include <algorithm>

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;

namespace {

constexpr std::string_view cPrefix = "/v1/weights/";

std::string adapterOf(const std::string &inPath)
{
    const std::string rest = inPath.substr(cPrefix.size());
    return rest.substr(0, rest.find('/'));
}

} // namespace

weight_store::weight_store(host &inHost, const platform_options &inOptions)
    : mHost(inHost)
    , mOutage(inHost.loop())
    , mBucket(inOptions.loadsPerSecond, inOptions.loadBurst)
    , mLoadTime(static_cast<long long>(inOptions.loadMs * 1000))
    , mFullSpeedLoads(std::max(1LL, inOptions.loadsInFlight))
{ }

void weight_store::handle(const std::shared_ptr<http::exchange> &inExchange)
{
    mOutage.guard(inExchange, [this, inExchange] { startLoad(inExchange); });
}

void weight_store::startLoad(const std::shared_ptr<http::exchange> &inExchange)
{
    if (!mBucket.tryTake(core::boot_clock::now())) {
        mHost.facts().write("weights_refused", {{"path", inExchange->path()}});
        inExchange->replyJson(429, R"({"error":{"type":"rate_limited"}})", {{"Retry-After", "1"}});
        return;
    }
    ++mInFlight;
    const bool fails = mFailNext > 0 || mFailing.contains(adapterOf(inExchange->path()));
    if (mFailNext > 0)
        --mFailNext;
    const double slowdown
        = std::max(1.0, static_cast<double>(mInFlight) / static_cast<double>(mFullSpeedLoads));
    const core::duration time(
        static_cast<long long>(static_cast<double>(mLoadTime.count()) * slowdown));
    mHost.facts().write("weights_load", {{"path", inExchange->path()}, {"in_flight", mInFlight}});
    runLater(mHost.loop(), time, [this, inExchange, fails] { finishLoad(inExchange, fails); });
}

void weight_store::finishLoad(const std::shared_ptr<http::exchange> &inExchange, bool inFails)
{
    --mInFlight;
    if (inFails)
        inExchange->replyJson(500, R"({"error":{"type":"load_failed"}})");
    else
        inExchange->replyJson(200, R"({"loaded":true})");
}

} // namespace standins
