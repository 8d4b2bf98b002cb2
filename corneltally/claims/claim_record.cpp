#include "corneltally/claims/claim_record.h"

#include "corneltally/core/json_fields.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace corneltally::claims {

namespace {

using nlohmann::json;

constexpr std::string_view cDigits = "0123456789abcdef";

bool isAscii(std::string_view inText)
{
    return std::ranges::all_of(inText, [](char inByte) { return (inByte & 0x80) == 0; });
}

std::string toHex(std::string_view inBytes)
{
    std::string hex;
    hex.reserve(inBytes.size() * 2);
    for (const char byte : inBytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex.push_back(cDigits[value >> 4U]);
        hex.push_back(cDigits[value & 15U]);
    }
    return hex;
}

std::string fromHex(std::string_view inHex)
{
    std::string bytes;
    bytes.reserve(inHex.size() / 2);
    for (std::size_t position = 0; position + 1 < inHex.size(); position += 2) {
        const std::size_t high = cDigits.find(inHex[position]);
        const std::size_t low = cDigits.find(inHex[position + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return {};
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

json toJson(const claim_record &inRecord)
{
    json entry{{"key", inRecord.key}, {"claim_id", inRecord.claimId}};
    switch (inRecord.action) {
    case claim_action::claim:
        entry["action"] = "claim";
        entry["instance"] = inRecord.instance;
        entry["incarnation"] = inRecord.incarnation;
        entry["request_digest"] = inRecord.requestDigest;
        break;
    case claim_action::release:
        entry["action"] = "release";
        break;
    case claim_action::done:
        entry["action"] = "done";
        entry["status"] = inRecord.status;
        entry["content_type"] = inRecord.contentType;
        // JSON strings can contain only Unicode; bodies may be arbitrary bytes.
        if (isAscii(inRecord.body))
            entry["body"] = inRecord.body;
        else
            entry["body_hex"] = toHex(inRecord.body);
        break;
    }
    return entry;
}

std::optional<claim_record> toRecord(const json &inEntry)
{
    if (!inEntry.is_object())
        return std::nullopt;
    claim_record record{.key = core::readText(inEntry, "key"),
                        .claimId = core::readText(inEntry, "claim_id")};
    const std::string action = core::readText(inEntry, "action");
    if (record.key.empty() || record.claimId.empty())
        return std::nullopt;
    if (action == "claim") {
        record.action = claim_action::claim;
        record.instance = core::readText(inEntry, "instance");
        record.requestDigest = core::readText(inEntry, "request_digest");
        const auto incarnation = inEntry.find("incarnation");
        if (incarnation != inEntry.end() && incarnation->is_number_unsigned())
            record.incarnation = incarnation->get<std::uint64_t>();
    } else if (action == "release") {
        record.action = claim_action::release;
    } else if (action == "done") {
        record.action = claim_action::done;
        record.contentType = core::readText(inEntry, "content_type");
        const auto status = inEntry.find("status");
        if (status != inEntry.end() && status->is_number_integer())
            record.status = status->get<int>();
        record.body = inEntry.contains("body_hex") ? fromHex(core::readText(inEntry, "body_hex"))
                                                   : core::readText(inEntry, "body");
    } else {
        return std::nullopt;
    }
    return record;
}

} // namespace

std::string encodeBatch(const claim_batch &inBatch)
{
    json records = json::array();
    for (const claim_record &record : inBatch.records)
        records.push_back(toJson(record));
    // By default, dump() throws for a content type that is not valid UTF-8, which would end the
    // process.
    return json{{"batch", inBatch.id}, {"records", std::move(records)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_batch> decodeBatch(std::string_view inText)
{
    const json parsed = json::parse(inText, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("records") || !parsed["records"].is_array())
        return std::nullopt;
    claim_batch batch{.id = core::readText(parsed, "batch")};
    if (batch.id.empty())
        return std::nullopt;
    for (const json &entry : parsed["records"]) {
        if (auto record = toRecord(entry))
            batch.records.push_back(std::move(*record));
    }
    return batch;
}

} // namespace corneltally::claims
