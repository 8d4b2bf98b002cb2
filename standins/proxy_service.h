#pragma once

#include "corneltally/http/exchange.h"
#include "standins/proxy_link.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace standins {

class host;

/// The fault-injecting TCP proxy: named links and the control API that switches their faults.
class proxy_service
{
public:
    explicit proxy_service(host &inHost);
    ~proxy_service();
    proxy_service(const proxy_service &) = delete;
    proxy_service &operator=(const proxy_service &) = delete;

    /// Adds a link from a flag "name=ip:port", or "name" with a target that is set later.
    void addFromFlag(const std::string &inText);

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    proxy_link &linkOf(const std::string &inName);
    std::string addLinks(const nlohmann::json &inBody);
    bool applyFault(const nlohmann::json &inBody);
    std::vector<proxy_link *> selectLinks(const nlohmann::json &inBody);
    std::string listLinks() const;

    host &mHost;
    std::map<std::string, std::unique_ptr<proxy_link>> mLinks;
};

} // namespace standins
