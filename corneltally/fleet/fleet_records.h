#pragma once

#include "corneltally/fleet/holder_claims.h"
#include "corneltally/store/record.h"

#include <cstdint>
#include <optional>
#include <string>

/// Records of the topic that the instances share.
namespace corneltally::fleet {

/// Name of that topic.
inline const std::string cFleetTopic = "keyed.fleet";

/// An instance that was started, as its record says.
struct member
{
    std::string instance;
    std::string machine;
    /// Where other instances reach it.
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const member &, const member &) = default;
};

store::record memberRecord(const member &inMember);
store::record claimRecord(const std::string &inEngine, const claim &inClaim);

/// Records without a value; they remove the key.
store::record removedMember(const std::string &inInstance);
store::record removedClaim(const std::string &inEngine);

/// Name in the key of a record of one kind; nothing for records of other kinds.
std::optional<std::string> memberName(const store::record &inRecord);
std::optional<std::string> claimedEngine(const store::record &inRecord);

/// Contents of a record; nothing if it has none or is damaged. The fence of a claim is its place in
/// the topic.
std::optional<member> decodeMember(const store::record &inRecord);
std::optional<claim> decodeClaim(const store::record &inRecord);

} // namespace corneltally::fleet
