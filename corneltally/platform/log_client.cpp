#include "corneltally/platform/log_client.h"

#include <nlohmann/json.hpp>

namespace corneltally::platform {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr core::duration cAppendTimeout = 5s;
/// Timeout of a read in addition to the time that the log may wait. An unresponsive connection is
/// closed after it.
constexpr core::duration cReadMargin = 2s;

core::error unavailable(std::string inMessage)
{
    return {core::error_kind::unavailable, std::move(inMessage),
            "check that the platform's log runs at the configured address"};
}

std::string describe(const http::response &inResponse)
{
    switch (inResponse.outcome) {
    case http::call_outcome::not_sent:
        return "the log does not accept connections";
    case http::call_outcome::interrupted:
        return "the log's answer did not arrive";
    case http::call_outcome::completed:
        break;
    }
    return "the log answered with status " + std::to_string(inResponse.status) + " "
        + inResponse.body.substr(0, 200);
}

bool isUnsigned(const json &inJson, const char *inName)
{
    return inJson.is_object() && inJson.contains(inName) && inJson[inName].is_number_unsigned();
}

append_result toAppendResult(const http::response &inResponse)
{
    append_result result;
    if (inResponse.outcome == http::call_outcome::completed && inResponse.status / 100 == 2) {
        const json body = json::parse(inResponse.body, nullptr, false);
        if (isUnsigned(body, "offset")) {
            result.outcome = append_outcome::appended;
            result.offset = body["offset"].get<std::uint64_t>();
            return result;
        }
    }
    // After a status of 5xx the record may have been written before the failure.
    const bool isRefused = inResponse.outcome == http::call_outcome::not_sent
        || (inResponse.outcome == http::call_outcome::completed && inResponse.status / 100 == 4);
    result.outcome = isRefused ? append_outcome::refused : append_outcome::unknown;
    result.reason = unavailable(describe(inResponse));
    return result;
}

bool readRecords(const json &inBody, std::vector<log_record> &outRecords)
{
    if (!inBody.contains("records") || !inBody["records"].is_array())
        return false;
    for (const json &entry : inBody["records"]) {
        if (!isUnsigned(entry, "offset") || !entry.contains("data") || !entry["data"].is_string())
            return false;
        const bool hasTime = entry.contains("time_ms") && entry["time_ms"].is_number();
        outRecords.push_back({entry["offset"].get<std::uint64_t>(),
                              hasTime ? entry["time_ms"].get<std::int64_t>() : 0,
                              entry["data"].get<std::string>()});
    }
    return true;
}

read_result toReadResult(const http::response &inResponse)
{
    read_result result;
    if (inResponse.outcome == http::call_outcome::completed
        && (inResponse.status == 200 || inResponse.status == 410)) {
        const json body = json::parse(inResponse.body, nullptr, false);
        if (inResponse.status == 410 && isUnsigned(body, "first")) {
            result.outcome = read_outcome::expired;
            result.first = body["first"].get<std::uint64_t>();
            return result;
        }
        if (inResponse.status == 200 && isUnsigned(body, "first") && isUnsigned(body, "next")
            && readRecords(body, result.records)) {
            result.outcome = read_outcome::records;
            result.first = body["first"].get<std::uint64_t>();
            result.next = body["next"].get<std::uint64_t>();
            return result;
        }
        result.records.clear();
    }
    result.reason = unavailable(describe(inResponse));
    return result;
}

} // namespace

log_client::log_client(kernel::event_loop &inLoop, http::address inPlatform)
    : mPlatform(std::move(inPlatform))
    , mReads(inLoop)
    , mAppends(inLoop)
{ }

log_client::~log_client() = default;

void log_client::append(const std::string &inStream, std::string inRecord, append_handler inHandler)
{
    call(mAppends,
         {.method = "POST",
          .path = "/v1/log/" + inStream + "/records",
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(inRecord),
          .timeout = cAppendTimeout},
         [handler = std::move(inHandler)](const http::response &inResponse) {
             handler(toAppendResult(inResponse));
         });
}

void log_client::read(const read_request &inRequest, read_handler inHandler)
{
    const std::string path = "/v1/log/" + inRequest.stream + "/records?from="
        + std::to_string(inRequest.from) + "&limit=" + std::to_string(inRequest.limit)
        + "&wait_ms=" + std::to_string(inRequest.wait.count());
    const core::time_point sentAt = core::boot_clock::now();
    call(mReads, {.path = path, .timeout = inRequest.wait + cReadMargin},
         [sentAt, handler = std::move(inHandler)](const http::response &inResponse) {
             read_result result = toReadResult(inResponse);
             result.sentAt = sentAt;
             handler(result);
         });
}

void log_client::cancelAll()
{
    mReads.cancelAll();
    mAppends.cancelAll();
}

void log_client::channel::cancelAll()
{
    for (const http::client::call_id id : calls)
        client.cancel(id);
    calls.clear();
}

template <typename Handler>
void log_client::call(channel &ioChannel, http::call_request inRequest, Handler inHandler)
{
    inRequest.target = mPlatform;
    auto id = std::make_shared<http::client::call_id>(0);
    *id = http::fetch(
        ioChannel.client, std::move(inRequest),
        [&ioChannel, id, handler = std::move(inHandler)](const http::response &inResponse) {
            ioChannel.calls.erase(*id);
            handler(inResponse);
        });
    ioChannel.calls.insert(*id);
}

} // namespace corneltally::platform
