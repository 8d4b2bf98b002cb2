#include "standins/proxy_service.h"

#include "standins/host.h"

#include <nlohmann/json.hpp>

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;
using nlohmann::json;

namespace {

core::duration milliseconds(double inValue)
{
    return core::duration(static_cast<long long>(inValue * 1000));
}

std::optional<link_direction> directionOf(const json &inBody)
{
    const auto name = inBody.value("direction", std::string("both"));
    if (name == "forward")
        return link_direction::forward;
    if (name == "backward")
        return link_direction::backward;
    return std::nullopt;
}

} // namespace

proxy_service::proxy_service(host &inHost)
    : mHost(inHost)
{ }

proxy_service::~proxy_service() = default;

void proxy_service::addFromFlag(const std::string &inText)
{
    const std::size_t equals = inText.find('=');
    proxy_link &link = linkOf(inText.substr(0, equals));
    if (equals != std::string::npos)
        link.setTarget(http::parseAddress(inText.substr(equals + 1)));
    mHost.announcePort(inText.substr(0, equals), link.port());
}

void proxy_service::handle(const std::shared_ptr<http::exchange> &inExchange)
{
    const std::string &path = inExchange->path();
    try {
        if (path == "/control/links" && inExchange->method() == "GET")
            inExchange->replyJson(200, listLinks());
        else if (path == "/control/links")
            inExchange->replyJson(200, addLinks(json::parse(inExchange->body())));
        else if (path == "/control/fault" && applyFault(json::parse(inExchange->body())))
            inExchange->replyJson(200, R"({"ok":true})");
        else
            inExchange->replyJson(404, R"({"ok":false})");
    } catch (const json::exception &failure) {
        inExchange->replyJson(400, json{{"error", failure.what()}}.dump());
    }
}

proxy_link &proxy_service::linkOf(const std::string &inName)
{
    std::unique_ptr<proxy_link> &link = mLinks[inName];
    if (!link)
        link = std::make_unique<proxy_link>(mHost.loop());
    return *link;
}

std::string proxy_service::addLinks(const json &inBody)
{
    json ports = json::object();
    for (const json &entry : inBody.at("links")) {
        const auto name = entry.at("name").get<std::string>();
        proxy_link &link = linkOf(name);
        if (entry.contains("target"))
            link.setTarget(http::parseAddress(entry.at("target").get<std::string>()));
        if (entry.contains("delay_ms"))
            link.setStandingDelay(milliseconds(entry.at("delay_ms").get<double>()));
        ports[name] = link.port();
    }
    return json{{"ports", ports}}.dump();
}

bool proxy_service::applyFault(const json &inBody)
{
    const auto fault = inBody.at("fault").get<std::string>();
    const std::optional<link_direction> direction = directionOf(inBody);
    direction_faults faults;
    if (fault == "freeze")
        faults.frozen = true;
    else if (fault == "delay")
        faults.delay = milliseconds(inBody.at("delay_ms").get<double>());
    else if (fault == "drop_after")
        faults.dropAfter = inBody.at("bytes").get<std::uint64_t>();
    else if (fault != "cut" && fault != "half_open" && fault != "heal")
        return false;
    const std::vector<proxy_link *> links = selectLinks(inBody);
    for (proxy_link *link : links) {
        if (fault == "cut")
            link->cut();
        else if (fault == "half_open")
            link->halfOpen(direction);
        else if (fault == "heal")
            link->heal();
        else
            link->setFaults(direction, faults);
    }
    return !links.empty();
}

std::vector<proxy_link *> proxy_service::selectLinks(const json &inBody)
{
    std::vector<proxy_link *> links;
    if (!inBody.contains("names")) {
        for (const auto &[name, link] : mLinks)
            links.push_back(link.get());
        return links;
    }
    for (const json &name : inBody.at("names")) {
        const auto found = mLinks.find(name.get<std::string>());
        if (found != mLinks.end())
            links.push_back(found->second.get());
    }
    return links;
}

std::string proxy_service::listLinks() const
{
    json links = json::object();
    for (const auto &[name, link] : mLinks)
        links[name] = {{"port", link->port()},
                       {"target", link->target().toString()},
                       {"cut", link->isCut()},
                       {"connections", link->connectionCount()}};
    return json{{"links", links}}.dump();
}

} // namespace standins
