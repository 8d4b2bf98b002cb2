#include "standins/engine_service.h"

#include "corneltally/kernel/timer.h"
#include "standins/prompt_tokens.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace standins {

namespace core = corneltally::core;
namespace kernel = corneltally::kernel;
using nlohmann::json;

namespace {

constexpr std::string_view cStreams = "/v1/streams/";

std::string errorBody(std::string_view inType, const std::string &inMessage)
{
    return json{{"error", {{"type", inType}, {"message", inMessage}}}}.dump();
}

std::uint64_t toNumber(std::string_view inText)
{
    std::uint64_t value = 0;
    std::from_chars(inText.data(), inText.data() + inText.size(), value);
    return value;
}

/// Accepts a number, or the name of a traffic class.
long long priorityOf(const json &inBody)
{
    const auto found = inBody.find("priority");
    if (found == inBody.end())
        return 0;
    if (found->is_string())
        return *found == "patient" ? 1 : 0;
    return found->is_number() ? found->get<long long>() : 0;
}

} // namespace

engine_service::engine_service(host &inHost, const engine_options &inOptions)
    : mHost(inHost)
    , mIgnoreFence(inOptions.ignoreFence)
    , mBaseModel(inOptions.baseModel)
    , mOptions(inOptions)
    , mBatch(inHost, inOptions)
    , mAdapters(inHost, mBatch, inOptions)
    , mReportTimer(std::make_unique<kernel::timer>(inHost.loop(), [this] { refreshReport(); }))
{
    refreshReport();
    if (inOptions.reportLagMs > 0)
        mReportTimer->startRepeating(
            core::duration(static_cast<long long>(inOptions.reportLagMs * 1000)));
}

engine_service::~engine_service() = default;

void engine_service::handle(const exchange_pointer &inExchange)
{
    const std::string &path = inExchange->path();
    try {
        if (path == "/v1/completions")
            complete(inExchange, false);
        else if (path == "/v1/chat/completions")
            complete(inExchange, true);
        else if (path.starts_with(cStreams))
            streamCommand(inExchange);
        else if (path == "/v1/adapters/load" || path == "/v1/adapters/unload")
            adapterCommand(inExchange);
        else if (path == "/v1/fence")
            fenceCommand(inExchange);
        else if (path == "/v1/state")
            reportState(inExchange);
        else if (path.starts_with("/control/"))
            control(inExchange);
        else
            inExchange->replyJson(404, errorBody("not_found", path));
    } catch (const json::exception &failure) {
        if (!inExchange->isAnswered())
            inExchange->replyJson(400, errorBody("invalid_request", failure.what()));
    }
}

void engine_service::complete(const exchange_pointer &inExchange, bool inChat)
{
    if (!passesFence(inExchange, "run"))
        return;
    const json body = json::parse(inExchange->body());
    engine_request request;
    request.id = inExchange->header("X-Request-Id");
    request.model = adapter_ref::sParse(body.at("model").get<std::string>());
    request.user = body.value("user", std::string());
    request.account = inExchange->header("X-Account");
    request.chat = inChat;
    request.streamed = body.value("stream", false);
    request.priority = priorityOf(body);
    request.promptTokens = promptTokens(body);
    request.maxTokens = std::max<std::uint64_t>(1, body.value("max_tokens", std::uint64_t{16}));
    if (request.id.empty()) {
        inExchange->replyJson(400, errorBody("invalid_request", "X-Request-Id is missing"));
    } else if (mRefusing) {
        inExchange->replyJson(503, errorBody("unavailable", "runs are refused"),
                              {{"X-Not-Run", "true"}});
    } else if (!mAdapters.isResident(request.model)) {
        inExchange->replyJson(404, errorBody("adapter_not_resident", request.model.toString()));
    } else {
        recordRun(inExchange, request);
        mBatch.submit(std::move(request), inExchange);
    }
}

void engine_service::streamCommand(const exchange_pointer &inExchange)
{
    const std::string rest = inExchange->path().substr(cStreams.size());
    const std::size_t slash = rest.rfind('/');
    const std::string id = rest.substr(0, slash);
    const std::string command = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (command == "cancel") {
        const bool known = mBatch.cancel(id);
        inExchange->replyJson(known ? 200 : 404,
                              known ? R"({"cancelled":true})" : errorBody("unknown_stream", id));
    } else if (command == "resume") {
        if (!mBatch.resume(id, toNumber(inExchange->query("from")), inExchange))
            inExchange->replyJson(404, errorBody("unknown_stream", id));
    } else {
        inExchange->replyJson(404, errorBody("not_found", command));
    }
}

void engine_service::adapterCommand(const exchange_pointer &inExchange)
{
    const bool loads = inExchange->path().ends_with("/load");
    if (!passesFence(inExchange, loads ? "load" : "unload"))
        return;
    const json body = json::parse(inExchange->body());
    const adapter_ref model{body.at("adapter").get<std::string>(),
                            body.at("version").get<std::string>()};
    if (loads)
        mAdapters.load(model, inExchange);
    else
        mAdapters.unload(model, inExchange);
}

void engine_service::fenceCommand(const exchange_pointer &inExchange)
{
    if (inExchange->method() == "POST" && !mIgnoreFence) {
        const auto fence = json::parse(inExchange->body()).at("fence").get<std::uint64_t>();
        if (fence < mHighestFence) {
            inExchange->replyJson(409, errorBody("stale_fence", std::to_string(mHighestFence)));
            return;
        }
        mHighestFence = fence;
        mHost.facts().write("fence", {{"fence", fence}});
        refreshReport();
    }
    inExchange->replyJson(200, json{{"highest", mHighestFence}}.dump());
}

bool engine_service::passesFence(const exchange_pointer &inExchange, const char *inCommand)
{
    if (mIgnoreFence)
        return true;
    const std::uint64_t fence = toNumber(inExchange->header("X-Fence"));
    if (fence >= mHighestFence) {
        mHighestFence = fence;
        return true;
    }
    mHost.facts().write("stale_fence",
                        {{"command", inCommand},
                         {"fence", fence},
                         {"highest", mHighestFence},
                         {"request_id", inExchange->header("X-Request-Id")}});
    inExchange->replyJson(409, errorBody("stale_fence", std::to_string(mHighestFence)));
    return false;
}

void engine_service::control(const exchange_pointer &inExchange)
{
    const json body = json::parse(inExchange->body());
    if (body.contains("leaving")) {
        mLeaving = body.at("leaving").get<bool>();
        mHost.facts().write("leaving", {{"leaving", mLeaving}});
    }
    mRefusing = body.value("refuse_runs", mRefusing);
    if (body.contains("fail_loads"))
        mAdapters.failNext(body.at("fail_loads").get<long long>());
    if (body.contains("stall"))
        mBatch.setStalled(body.at("stall").get<bool>());
    if (body.contains("token_ms"))
        mBatch.setTokenMs(body.at("token_ms").get<double>());
    if (body.value("drop_callers", false))
        mBatch.dropCallers();
    if (body.value("lose_adapters", false))
        mAdapters.clear();
    inExchange->replyJson(200, R"({"ok":true})");
}

void engine_service::reportState(const exchange_pointer &inExchange)
{
    if (mOptions.reportLagMs <= 0)
        refreshReport();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(core::boot_clock::now()
                                                                           - mReportTime);
    // Rounded up, so that a reader never takes the report for newer than it is.
    inExchange->replyJson(200, mReport + ",\"age_ms\":" + std::to_string(age.count() + 1) + "}");
}

std::string engine_service::stateJson() const
{
    json resident = json::array();
    for (const adapter_ref &model : mAdapters.resident())
        resident.push_back({{"adapter", model.adapter},
                            {"version", model.version},
                            {"running", mBatch.usesOf(model)}});
    json loading = json::array();
    for (const adapter_ref &model : mAdapters.loading())
        loading.push_back({{"adapter", model.adapter}, {"version", model.version}});
    const json state{{"fence", mHighestFence},
                     {"slots", mOptions.adapterSlots},
                     {"run_slots", mOptions.runSlots},
                     {"base_model", mBaseModel},
                     {"resident", resident},
                     {"loading", loading},
                     {"running", mBatch.runningCount()},
                     {"queued", mBatch.queuedCount()}};
    std::string text = state.dump();
    // The age is added when the report is read.
    text.pop_back();
    return text;
}

void engine_service::refreshReport()
{
    mReport = stateJson();
    mReportTime = core::boot_clock::now();
}

void engine_service::recordRun(const exchange_pointer &inExchange, const engine_request &inRequest)
{
    mHost.facts().write("run_start",
                        {{"request_id", inRequest.id},
                         {"adapter", inRequest.model.adapter},
                         {"version", inRequest.model.version},
                         {"user", inRequest.user},
                         {"account", inRequest.account},
                         {"prompt_tokens", inRequest.promptTokens},
                         {"headers", host::sHeaderNames(*inExchange)},
                         {"secret_seen", mHost.seesSecret(*inExchange)},
                         {"leaving", mLeaving}});
}

} // namespace standins
