#include "corneltally/platform/instance_list_client.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace corneltally::platform {

namespace {

using nlohmann::json;

constexpr core::duration cTimeout = std::chrono::seconds(1);

core::error unavailable(std::string inMessage)
{
    return {core::error_kind::unavailable, std::move(inMessage),
            "check that the platform serves its list of instances"};
}

} // namespace

core::result<instance_list_client::name_set> parseLeaving(const std::string &inText)
{
    const json list = json::parse(inText, nullptr, false);
    if (!list.is_object() || !list.contains("instances") || !list["instances"].is_array())
        return unavailable("the platform's list of instances is malformed");
    instance_list_client::name_set leaving;
    for (const json &entry : list["instances"]) {
        const bool isComplete = entry.is_object() && entry.contains("name")
            && entry["name"].is_string() && entry.contains("state") && entry["state"].is_string();
        if (isComplete && entry["state"] == "leaving")
            leaving.insert(entry["name"].get<std::string>());
    }
    return leaving;
}

instance_list_client::instance_list_client(kernel::event_loop &inLoop, http::address inPlatform)
    : mClient(inLoop)
    , mPlatform(std::move(inPlatform))
{ }

void instance_list_client::readLeaving(handler inHandler)
{
    http::fetch(mClient, {.target = mPlatform, .path = "/v1/instances", .timeout = cTimeout},
                [handler = std::move(inHandler)](const http::response &inResponse) {
                    if (inResponse.outcome == http::call_outcome::completed
                        && inResponse.status == 200)
                        handler(parseLeaving(inResponse.body));
                    else
                        handler(unavailable("the platform's list of instances cannot be read"));
                });
}

} // namespace corneltally::platform
