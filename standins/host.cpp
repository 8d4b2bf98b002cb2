#include "standins/host.h"

#include "corneltally/core/json_log.h"
#include "corneltally/http/exchange.h"
#include "standins/flag_parser.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;

void host_options::addFlags(flag_parser &ioFlags)
{
    ioFlags.add("name", "name of the process in the ready line, logs and ledger", name);
    ioFlags.add("listen", "address of the HTTP server; port 0 lets the kernel choose", listen);
    ioFlags.add("ledger", "file to which facts are appended as JSON lines", ledgerFile);
    ioFlags.add("secret", "string that must not appear in requests (several)", secrets);
}

host::host(host_options inOptions)
    : mOptions(std::move(inOptions))
    , mLedger(mOptions.ledgerFile, mOptions.name)
{
    core::initializeLog(mOptions.name.c_str(), mOptions.name);
    mLoop.onSignal(SIGTERM, [this] { mLoop.stop(); });
    mLoop.onSignal(SIGINT, [this] { mLoop.stop(); });
}

host::~host() = default;

bool host::listen(http::server::handler inHandler)
{
    // Idle connections stay open long, so that the caller alone decides when to close them.
    const http::server_limits limits{.maxBodyBytes = 16 * 1024 * 1024,
                                     .idleTimeout = std::chrono::minutes(30),
                                     .maxConnections = 20'000};
    mServer = std::make_unique<http::server>(mLoop, std::move(inHandler), limits);
    if (!mServer->listen(http::parseAddress(mOptions.listen))) {
        core::logEvent(core::log_level::error, "listen_failed", {{"address", mOptions.listen}});
        return false;
    }
    announcePort("http", mServer->port());
    return true;
}

unsigned short host::port(const std::string &inName) const
{
    const auto found = mPorts.find(inName);
    return found == mPorts.end() ? 0 : found->second;
}

void host::announcePort(const std::string &inName, unsigned short inPort)
{
    mPorts[inName] = inPort;
}

void host::run()
{
    std::string line
        = "{\"ready\":true,\"name\":\"" + core::jsonEscape(mOptions.name) + "\",\"ports\":{";
    for (const auto &[name, port] : mPorts) {
        if (line.back() != '{')
            line.append(",");
        line.append("\"").append(name).append("\":").append(std::to_string(port));
    }
    line.append("}}\n");
    std::fputs(line.c_str(), stdout);
    std::fflush(stdout);
    mLoop.run();
}

bool host::seesSecret(const http::exchange &inExchange) const
{
    if (mOptions.secrets.empty())
        return false;
    const auto inPair = [this](const auto &inEntry) {
        return containsSecret(inEntry.first) || containsSecret(inEntry.second);
    };
    return containsSecret(inExchange.path()) || containsSecret(inExchange.body())
        || std::ranges::any_of(inExchange.headers(), inPair)
        || std::ranges::any_of(inExchange.queryParameters(), inPair);
}

std::string host::sHeaderNames(const http::exchange &inExchange)
{
    std::string names;
    for (const auto &[name, value] : inExchange.headers())
        names.append(names.empty() ? "" : ",").append(name);
    return names;
}

bool host::containsSecret(std::string_view inText) const
{
    return std::ranges::any_of(mOptions.secrets, [inText](const std::string &inSecret) {
        return inText.find(inSecret) != std::string_view::npos;
    });
}

} // namespace standins
