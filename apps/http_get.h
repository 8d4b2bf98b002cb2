#pragma once

#include "corneltally/http/client.h"

#include <string>

namespace corneltally::apps {

/// Fetches a path and waits for the answer, at most 5 s.
http::response httpGet(const http::address &inAddress, const std::string &inPath);

/// Why an answer is of no use; empty if its status is 200.
std::string describeFailure(const http::response &inResponse);

} // namespace corneltally::apps
