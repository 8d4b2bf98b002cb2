#include "standins/engine_adapters.h"

#include "standins/engine_batch.h"
#include "standins/engine_options.h"
#include "standins/host.h"
#include "standins/outage.h"

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;

namespace {

std::string errorBody(std::string_view inType)
{
    return "{\"error\":{\"type\":\"" + std::string(inType) + "\"}}";
}

} // namespace

engine_adapters::engine_adapters(host &inHost, engine_batch &inBatch,
                                 const engine_options &inOptions)
    : mHost(inHost)
    , mBatch(inBatch)
    , mClient(inHost.loop())
    , mPlatform(http::parseAddress(inOptions.platform))
    , mSlots(static_cast<std::size_t>(inOptions.adapterSlots))
    , mLoadMs(inOptions.loadMs)
{
    for (const std::string &text : inOptions.resident)
        mResident.insert(adapter_ref::sParse(text));
}

std::vector<adapter_ref> engine_adapters::loading() const
{
    std::vector<adapter_ref> models;
    for (const auto &[model, waiting] : mLoading)
        models.push_back(model);
    return models;
}

void engine_adapters::load(const adapter_ref &inModel, const exchange_pointer &inExchange)
{
    if (isResident(inModel)) {
        inExchange->replyJson(200, R"({"loaded":true})");
        return;
    }
    if (const auto found = mLoading.find(inModel); found != mLoading.end()) {
        found->second.push_back(inExchange);
        return;
    }
    if (mResident.size() + mLoading.size() >= mSlots) {
        inExchange->replyJson(503, errorBody("no_free_adapter_slot"));
        return;
    }
    mLoading[inModel].push_back(inExchange);
    mHost.facts().write("load_start", {{"adapter", inModel.adapter}, {"version", inModel.version}});
    fetchWeights(inModel);
}

void engine_adapters::unload(const adapter_ref &inModel, const exchange_pointer &inExchange)
{
    if (!isResident(inModel)) {
        inExchange->replyJson(404, errorBody("adapter_not_resident"));
        return;
    }
    mHost.facts().write("unload",
                        {{"adapter", inModel.adapter},
                         {"version", inModel.version},
                         {"in_use", mBatch.usesOf(inModel)}});
    mResident.erase(inModel);
    mBatch.breakRuns(inModel);
    inExchange->replyJson(200, R"({"unloaded":true})");
}

void engine_adapters::clear()
{
    const std::set<adapter_ref> lost = std::move(mResident);
    mResident.clear();
    for (const adapter_ref &model : lost)
        mBatch.breakRuns(model);
}

void engine_adapters::fetchWeights(const adapter_ref &inModel)
{
    if (mPlatform.port == 0) {
        runLater(mHost.loop(), core::duration(static_cast<long long>(mLoadMs * 1000)),
                 [this, inModel] { finishLoad(inModel, 200, ""); });
        return;
    }
    http::call_request request{.target = mPlatform,
                               .method = "POST",
                               .path = "/v1/weights/" + inModel.adapter + "/" + inModel.version};
    http::fetch(mClient, std::move(request), [this, inModel](const http::response &inAnswer) {
        const bool answered = inAnswer.outcome == http::call_outcome::completed;
        finishLoad(inModel, answered ? inAnswer.status : 502,
                   inAnswer.status == 429 ? "weights_rate_limited" : "weights_unavailable");
    });
}

void engine_adapters::finishLoad(const adapter_ref &inModel, int inStatus,
                                 const std::string &inReason)
{
    const auto node = mLoading.extract(inModel);
    bool loaded = inStatus == 200;
    std::string reason = inReason;
    if (loaded && mFailNext > 0) {
        --mFailNext;
        loaded = false;
        reason = "load_failed";
    }
    if (loaded)
        mResident.insert(inModel);
    mHost.facts().write(
        "load_end",
        {{"adapter", inModel.adapter}, {"version", inModel.version}, {"loaded", loaded}});
    for (const exchange_pointer &waiting : node.mapped())
        waiting->replyJson(loaded ? 200 : 503, loaded ? R"({"loaded":true})" : errorBody(reason));
}

} // namespace standins
