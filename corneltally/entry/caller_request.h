#pragma once

#include "corneltally/core/result.h"
#include "corneltally/entry/run.h"
#include "corneltally/http/message.h"

#include <string>
#include <string_view>

namespace corneltally::settings {
class settings_index;
struct route_view;
} // namespace corneltally::settings

namespace corneltally::entry {

/// A request as it was received. The viewed data must outlive the calls that the request is passed
/// to.
struct received_request
{
    std::string_view method;
    std::string_view path;
    std::string_view body;
    const http::header_list &headers;
};

/// The sender of a request. Both are empty on an open route.
struct caller_identity
{
    std::string account;
    std::string keyDigest;
};

/// Longest body of a request. With its envelope it must fit into a frame between instances.
inline constexpr std::size_t cMaxCallerBodyBytes = 960 * 1024;

/// Tokens that are reserved for the answer if the request sets no max_tokens.
inline constexpr long long cDefaultMaxTokens = 256;

/// Greatest max_tokens that a request may set.
inline constexpr long long cGreatestMaxTokens = 1'000'000;

/// The key of the Authorization header; empty if there is none.
std::string_view bearerKey(const http::header_list &inHeaders);

/// Finds the client account of the caller's key and checks that it may use the route.
core::result<caller_identity> identifyCaller(const settings::settings_index &inSettingsIndex,
                                             const settings::route_view &inRoute,
                                             const http::header_list &inHeaders);

/// Checks a request against its route and the settings, and builds the run from it. The request id,
/// the account, the order id and the deadline are left for the caller to fill in.
core::result<run> buildRun(const settings::settings_index &inSettingsIndex,
                           const settings::route_view &inRoute, const received_request &inRequest,
                           std::size_t inMaxBodyBytes = cMaxCallerBodyBytes);

/// Key of a request's idempotency claim: digest of client account, route and idempotency key.
std::string claimKeyOf(std::string_view inAccount, std::string_view inRoute,
                       std::string_view inIdempotencyKey);

/// Digest of a request, to detect different requests with the same idempotency key.
std::string requestDigestOf(const received_request &inRequest);

} // namespace corneltally::entry
