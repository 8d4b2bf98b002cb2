#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/message.h"
#include "corneltally/settings/route_view.h"

#include <compare>
#include <string>

namespace corneltally::entry {

/// A caller's request after authentication, as it is sent to the endpoint. Holds no credentials.
struct run
{
    /// Unique over all instances and restarts.
    std::string requestId;
    std::string account;
    std::string route;
    settings::endpoint_kind kind = settings::endpoint_kind::model;
    /// Resolved when the request arrives; later changes of the settings do not affect the run.
    std::string adapter;
    std::string version;
    std::string baseModel;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    /// Digest that identifies the order to application services; empty without an idempotency key.
    std::string orderId;
    double promptTokens = 0;
    double maxTokens = 0;
    bool stream = false;
    bool repeatable = false;
    settings::traffic_class trafficClass = settings::traffic_class::prompt;
    /// On this instance's clock; sent to other instances as the remaining time.
    core::time_point deadline;
    core::duration streamIdle{};

    friend auto operator<=>(const run &, const run &) = default;
};

} // namespace corneltally::entry
