#include "corneltally/settings/snapshot_part.h"

#include "corneltally/core/digest.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace corneltally::settings {

namespace {

using nlohmann::json;

constexpr std::string_view cPrefix = R"({"snapshot":)";
/// More than the largest tree needs; bounds the memory that a malformed record can cause a reader
/// to use.
constexpr std::size_t cMaxParts = 256;

/// Returns the end of the part that starts at inStart. It never splits a UTF-8 sequence, since each
/// part is a separate JSON string.
std::size_t partEnd(std::string_view inText, std::size_t inStart)
{
    std::size_t end = std::min(inStart + cSnapshotPartBytes, inText.size());
    while (end < inText.size() && (static_cast<unsigned char>(inText[end]) & 0xC0U) == 0x80U)
        --end;
    return end;
}

} // namespace

std::vector<snapshot_part> snapshot_part::sSplit(std::uint64_t inOffset, std::string_view inTree)
{
    const std::string digest = core::sha256Hex(inTree);
    std::vector<snapshot_part> parts;
    std::size_t start = 0;
    do {
        const std::size_t end = partEnd(inTree, start);
        parts.push_back(
            {inOffset, parts.size(), 0, digest, std::string(inTree.substr(start, end - start))});
        start = end;
    } while (start < inTree.size());
    for (snapshot_part &part : parts)
        part.count = parts.size();
    return parts;
}

bool snapshot_part::sIsSnapshot(std::string_view inRecord)
{
    return inRecord.starts_with(cPrefix);
}

std::optional<snapshot_part> snapshot_part::sFromRecord(std::string_view inRecord)
{
    const json document = json::parse(inRecord, nullptr, false);
    if (!document.is_object() || !document.contains("snapshot"))
        return std::nullopt;
    const json &body = document["snapshot"];
    const auto has = [&](const char *inName, json::value_t inType) {
        return body.contains(inName) && body[inName].type() == inType;
    };
    constexpr auto cUnsigned = json::value_t::number_unsigned;
    constexpr auto cText = json::value_t::string;
    if (!body.is_object() || !has("offset", cUnsigned) || !has("part", cUnsigned)
        || !has("parts", cUnsigned) || !has("digest", cText) || !has("data", cText))
        return std::nullopt;
    snapshot_part part{body["offset"], body["part"], body["parts"], body["digest"], body["data"]};
    if (part.count == 0 || part.count > cMaxParts || part.index >= part.count)
        return std::nullopt;
    return part;
}

std::string snapshot_part::toRecord() const
{
    const json body{
        {"offset", offset}, {"part", index}, {"parts", count}, {"digest", digest}, {"data", data}};
    return std::string(cPrefix) + body.dump() + "}";
}

} // namespace corneltally::settings
