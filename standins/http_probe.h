#pragma once

#include "corneltally/http/client.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <chrono>
#include <string>

namespace standins {

/// Blocking HTTP calls for tests and launchers, which have no event loop of their own.
class http_probe
{
public:
    http_probe();

    corneltally::http::response get(unsigned short inPort, std::string inPath);
    corneltally::http::response post(unsigned short inPort, std::string inPath, std::string inBody,
                                     corneltally::http::header_list inHeaders = {});
    corneltally::http::response call(corneltally::http::call_request inRequest);

private:
    corneltally::kernel::event_loop mLoop;
    corneltally::http::client mClient;
};

} // namespace standins
