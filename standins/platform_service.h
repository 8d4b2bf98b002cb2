#pragma once

#include "corneltally/http/exchange.h"
#include "standins/instance_list.h"
#include "standins/log_service.h"
#include "standins/platform_options.h"
#include "standins/weight_store.h"

#include <memory>
#include <string>

namespace standins {

/// The platform stand-in: log, instance list and weight store behind one HTTP port, with a control
/// API that works during outages.
class platform_service
{
public:
    platform_service(host &inHost, const platform_options &inOptions);

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    void control(const exchange_pointer &inExchange);
    bool controlOutage(const std::string &inBody);
    void controlLog(const std::string &inBody);
    void controlWeights(const std::string &inBody);

    host &mHost;
    log_service mLog;
    weight_store mWeights;
    instance_list mInstances;
    outage mListOutage;
};

} // namespace standins
