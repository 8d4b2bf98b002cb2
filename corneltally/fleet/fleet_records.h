#pragma once

#include "corneltally/fleet/holder_claims.h"
#include "corneltally/store/record.h"

#include <cstdint>
#include <optional>
#include <string>

/// Records of the topic that the instances write and read.
namespace corneltally::fleet {

/// Name of that topic.
inline const std::string cFleetTopic = "keyed.fleet";

/// A started instance, as described by its record.
struct member
{
    std::string instance;
    std::string machine;
    /// Address for connections from other instances.
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const member &, const member &) = default;
};

store::record memberRecord(const member &inMember);
store::record claimRecord(const std::string &inEngine, const claim &inClaim);

/// Records without a value, which remove the key.
store::record removedMember(const std::string &inInstance);
store::record removedClaim(const std::string &inEngine);

/// Return the name in the key of a record; nothing if the record is of another kind.
std::optional<std::string> memberName(const store::record &inRecord);
std::optional<std::string> claimedEngine(const store::record &inRecord);

/// Decode the value of a record; nothing if it has none or is damaged. The fence of a claim is
/// derived from the position of its record, and grows with it.
std::optional<member> decodeMember(const store::record &inRecord);
std::optional<claim> decodeClaim(const store::record &inRecord);

} // namespace corneltally::fleet
