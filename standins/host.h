#pragma once

#include "corneltally/http/message.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "standins/ledger.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

class flag_parser;

/// Flags that all stand-ins have.
struct host_options
{
    std::string name;
    std::string listen = "127.0.0.1:0";
    std::string ledgerFile;
    std::vector<std::string> secrets;

    void addFlags(flag_parser &ioFlags);
};

/// What all stand-in processes have in common: event loop, HTTP server, ledger, ready line, and an
/// orderly end on SIGTERM.
class host
{
public:
    explicit host(host_options inOptions);
    ~host();
    host(const host &) = delete;
    host &operator=(const host &) = delete;

    corneltally::kernel::event_loop &loop() { return mLoop; }
    ledger &facts() { return mLedger; }
    const std::string &name() const { return mOptions.name; }

    /// Binds the HTTP server; port 0 lets the kernel choose.
    bool listen(corneltally::http::server::handler inHandler);

    /// A port of the ready line; 0 if there is none of that name.
    unsigned short port(const std::string &inName) const;

    /// Adds a port to the ready line.
    void announcePort(const std::string &inName, unsigned short inPort);

    /// Prints the ready line and runs until SIGTERM or SIGINT.
    void run();

    /// Whether one of the secret strings is in a header, the path, the query or the body.
    bool seesSecret(const corneltally::http::exchange &inExchange) const;

    /// Names of the request's headers, separated by commas.
    static std::string sHeaderNames(const corneltally::http::exchange &inExchange);

private:
    bool containsSecret(std::string_view inText) const;

    host_options mOptions;
    corneltally::kernel::event_loop mLoop;
    ledger mLedger;
    std::unique_ptr<corneltally::http::server> mServer;
    std::map<std::string, unsigned short> mPorts;
};

} // namespace standins
