#pragma once

#include "corneltally/http/client.h"

#include <string>

namespace corneltally::apps {

/// Sends a GET request and blocks until the answer arrives, at most 5 s.
http::response httpGet(const http::address &inAddress, const std::string &inPath);

/// Describes a failed request and what to check; empty if the status is 200.
std::string describeFailure(const http::response &inResponse);

} // namespace corneltally::apps
