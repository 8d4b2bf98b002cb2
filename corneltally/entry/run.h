#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/message.h"
#include "corneltally/settings/route_view.h"

#include <compare>
#include <string>

namespace corneltally::entry {

/// A caller's request after authentication, as it travels to the endpoint. It holds no credentials.
struct run
{
    /// Unique over all instances and restarts.
    std::string requestId;
    std::string account;
    std::string route;
    settings::endpoint_kind kind = settings::endpoint_kind::model;
    /// Fixed at admission; later changes of the tree do not affect the run.
    std::string adapter;
    std::string version;
    std::string baseModel;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    /// Digest that names the order at application services; empty without an idempotency key.
    std::string orderId;
    double promptTokens = 0;
    double maxTokens = 0;
    bool stream = false;
    bool repeatable = false;
    settings::traffic_class trafficClass = settings::traffic_class::prompt;
    /// On this instance's clock; sent between instances as the remaining time.
    core::time_point deadline;
    core::duration streamIdle{};

    friend auto operator<=>(const run &, const run &) = default;
};

} // namespace corneltally::entry
