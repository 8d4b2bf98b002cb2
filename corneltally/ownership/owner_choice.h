#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace corneltally::ownership {

/// A live instance that is not draining.
struct owner_candidate
{
    std::string name;
    std::string failureDomain;
};

/// Returns the instance that should own an endpoint: the one with the highest rendezvous weight in
/// the endpoint's failure domain or, if that has no candidate, among all. Instances with the same
/// view of the live instances choose the same owner; with different views, fencing numbers or
/// leases decide.
std::optional<std::string> chooseOwner(std::string_view inEndpoint,
                                       std::string_view inFailureDomain,
                                       std::span<const owner_candidate> inCandidates);

} // namespace corneltally::ownership
