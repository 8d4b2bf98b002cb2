#include "corneltally/fleet/fleet_records.h"

#include "corneltally/core/json_fields.h"

#include <string_view>

#include <nlohmann/json.hpp>

namespace corneltally::fleet {

namespace {

using json = nlohmann::json;

constexpr std::string_view cMemberPrefix = "instance/";
constexpr std::string_view cClaimPrefix = "engine/";

/// A fence is the era and, in so many lower bits, the offset. Readers that take numbers for
/// floating point keep all digits of 53 bits.
constexpr unsigned cFenceOffsetBits = 40;

std::uint64_t fenceOf(const store::position &inPosition)
{
    return (inPosition.era() << cFenceOffsetBits) + inPosition.offset() + 1;
}

std::optional<std::string> nameAfterPrefix(std::string_view inPrefix, const std::string &inKey)
{
    if (!inKey.starts_with(inPrefix))
        return std::nullopt;
    return inKey.substr(inPrefix.size());
}

std::string keyOf(std::string_view inPrefix, const std::string &inName)
{
    return std::string(inPrefix) + inName;
}

json parseValue(const store::record &inRecord)
{
    return inRecord.value ? json::parse(*inRecord.value, nullptr, false) : json();
}

} // namespace

store::record memberRecord(const member &inMember)
{
    const json value{{"machine", inMember.machine},
                     {"address", inMember.address},
                     {"failure_domain", inMember.failureDomain},
                     {"incarnation", inMember.incarnation}};
    return {.key = keyOf(cMemberPrefix, inMember.instance), .value = value.dump()};
}

store::record claimRecord(const std::string &inEngine, const claim &inClaim)
{
    json value{{"instance", inClaim.instance},
               {"machine", inClaim.machine},
               {"incarnation", inClaim.incarnation},
               {"failure_domain", inClaim.failureDomain}};
    if (inClaim.followsOther)
        value["order_from"] = inClaim.orderFrom.time_since_epoch().count();
    return {.key = keyOf(cClaimPrefix, inEngine), .value = value.dump()};
}

store::record removedMember(const std::string &inInstance)
{
    return {.key = keyOf(cMemberPrefix, inInstance), .value = std::nullopt};
}

store::record removedClaim(const std::string &inEngine)
{
    return {.key = keyOf(cClaimPrefix, inEngine), .value = std::nullopt};
}

std::optional<std::string> memberName(const store::record &inRecord)
{
    return nameAfterPrefix(cMemberPrefix, inRecord.key);
}

std::optional<std::string> claimedEngine(const store::record &inRecord)
{
    return nameAfterPrefix(cClaimPrefix, inRecord.key);
}

std::optional<member> decodeMember(const store::record &inRecord)
{
    const auto name = memberName(inRecord);
    const json value = parseValue(inRecord);
    if (!name || !value.is_object())
        return std::nullopt;
    return member{*name, core::readText(value, "machine"), core::readText(value, "address"),
                  core::readText(value, "failure_domain"), core::readCount(value, "incarnation")};
}

std::optional<claim> decodeClaim(const store::record &inRecord)
{
    const json value = parseValue(inRecord);
    if (!claimedEngine(inRecord) || !value.is_object())
        return std::nullopt;
    const auto orderFrom = static_cast<core::duration::rep>(core::readCount(value, "order_from"));
    return claim{.instance = core::readText(value, "instance"),
                 .machine = core::readText(value, "machine"),
                 .incarnation = core::readCount(value, "incarnation"),
                 .fence = fenceOf(inRecord.position),
                 .failureDomain = core::readText(value, "failure_domain"),
                 .followsOther = value.contains("order_from"),
                 .orderFrom = core::time_point(core::duration(orderFrom)),
                 .era = inRecord.position.era()};
}

} // namespace corneltally::fleet
