#include "standins/site_store.h"

#include "platform/document_codec.h"
#include "platform/names.h"
#include "standins/flag_parser.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace standins {

using nlohmann::json;
namespace core = corneltally::core;
namespace platform = corneltally::platform;
namespace store = corneltally::store;

namespace {

constexpr core::duration cTick = std::chrono::milliseconds(20);
constexpr int cSilentIntervals = 3;
constexpr std::size_t cNewestPage = 500;

std::string bigEndian(std::uint64_t inNumber, int inBytes)
{
    std::string bytes;
    for (int shift = 8 * (inBytes - 1); shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(inNumber >> static_cast<unsigned>(shift) & 0xffU));
    return bytes;
}

std::string encodeBase64(const std::string &inBytes)
{
    std::string text(4 * ((inBytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(inBytes.data()),
                    static_cast<int>(inBytes.size()));
    return text;
}

std::string encodeRecord(const store::record &inRecord)
{
    std::string content(1, static_cast<char>(inRecord.key.size()));
    content.append(inRecord.key).append(inRecord.value.value_or(""));
    return bigEndian(content.size(), 4) + content;
}

/// The records of a call's body; nothing if it is malformed.
std::optional<std::vector<store::record>> decodeRecords(std::string_view inBody)
{
    std::vector<store::record> records;
    while (!inBody.empty()) {
        std::uint64_t length = 0;
        for (int index = 0; index < 4 && inBody.size() > 4; ++index)
            length = length << 8U | static_cast<unsigned char>(inBody[index]);
        if (length < 1 || inBody.size() < 4 + length)
            return std::nullopt;
        const std::string_view content = inBody.substr(4, length);
        const std::size_t keyLength = static_cast<unsigned char>(content.front());
        if (content.size() < 1 + keyLength)
            return std::nullopt;
        store::record record{.key = std::string(content.substr(1, keyLength))};
        if (content.size() > 1 + keyLength)
            record.value = std::string(content.substr(1 + keyLength));
        records.push_back(std::move(record));
        inBody.remove_prefix(4 + length);
    }
    return records;
}

std::uint64_t numberOf(std::string_view inText)
{
    return std::strtoull(std::string(inText).c_str(), nullptr, 10);
}

/// Whether two entries differ in more than the count of orders, which alone changes no record.
bool differ(const std::string &inOne, const std::string &inOther)
{
    json one = json::parse(inOne, nullptr, false);
    json other = json::parse(inOther, nullptr, false);
    one.erase("sequence");
    other.erase("sequence");
    return one != other;
}

} // namespace

void site_store_options::addFlags(flag_parser &ioFlags)
{
    process.addFlags(ioFlags);
    ioFlags.add("retain-records", "records that a topic keeps", retainRecords);
    ioFlags.add("heartbeat-ms", "interval of the endpoints' heartbeats", heartbeatMs);
}

site_store::site_store(host &inHost, const site_store_options &inOptions)
    : mHost(inHost)
    , mOptions(inOptions)
    , mTimer(inHost.loop(), [this] { tick(); })
{
    mTimer.startRepeating(cTick);
}

void site_store::handle(const exchange_pointer &inExchange)
{
    if (inExchange->path().starts_with("/control/")) {
        control(inExchange);
        return;
    }
    if (mMode == "reset" || isAway()) {
        inExchange->abort();
    } else if (mMode == "busy") {
        replyJson(inExchange, 503, "{}");
    } else if (mMode == "silent") {
        // The connection returns nothing further, as after a lost answer.
        mWaiting.push_back({inExchange, "", 0, core::boot_clock::now() + std::chrono::hours(1)});
    } else if (inExchange->path() == platform::cAppendPath) {
        append(inExchange);
    } else if (inExchange->path() == platform::cReadPath) {
        read(inExchange);
    } else if (inExchange->path() == platform::cNewestPath) {
        newest(inExchange);
    } else {
        replyJson(inExchange, 404, "{}");
    }
}

void site_store::reply(const exchange_pointer &inExchange, int inStatus, const std::string &inType,
                       const std::string &inBody) const
{
    inExchange->reply(
        inStatus,
        {{"Content-Type", inType}, {std::string(platform::cStoreEraField), std::to_string(mEra)}},
        inBody);
}

void site_store::replyJson(const exchange_pointer &inExchange, int inStatus,
                           const std::string &inBody) const
{
    reply(inExchange, inStatus, "application/json", inBody);
}

int site_store::appendBody(topic &ioTopic, const std::string &inBody,
                           const std::string &inCondition)
{
    if (!inCondition.empty() && numberOf(inCondition) != ioTopic.end())
        return 412;
    auto records = decodeRecords(inBody);
    if (!records)
        return 400;
    for (store::record &record : *records)
        put(ioTopic, std::move(record));
    return 200;
}

void site_store::append(const exchange_pointer &inExchange)
{
    const std::string name(inExchange->query("topic"));
    const std::string condition(inExchange->query("at"));
    if (name == platform::cOperatorTopic || name == platform::cEndpointTopic) {
        replyJson(inExchange, 403, "{}");
        return;
    }
    if (mLateAppends > 0) {
        --mLateAppends;
        mLate.push_back({core::boot_clock::now() + mLateBy, name, inExchange->body(), condition});
        inExchange->abort();
        return;
    }
    topic &target = mTopics[name];
    const std::uint64_t offset = target.end();
    const int status = appendBody(target, inExchange->body(), condition);
    mHost.facts().write("append", {{"topic", name}, {"status", status}});
    if (status == 200 && mLoseAppends > 0) {
        --mLoseAppends;
        inExchange->abort();
    } else {
        replyJson(inExchange, status, json{{"offset", offset}, {"end", target.end()}}.dump());
    }
    answerWaiting();
}

void site_store::topic::put(store::record inRecord)
{
    inRecord.position = {0, end()};
    if (inRecord.value)
        newest.insert_or_assign(inRecord.key, inRecord);
    else
        newest.erase(inRecord.key);
    records.push_back(std::move(inRecord));
    times.push_back(core::boot_clock::now());
}

void site_store::topic::truncate(std::uint64_t inEnd)
{
    records.resize(inEnd);
    times.resize(inEnd);
    first = std::min(first, inEnd);
    newest.clear();
    for (const store::record &record : records) {
        if (record.value)
            newest.insert_or_assign(record.key, record);
        else
            newest.erase(record.key);
    }
}

void site_store::put(topic &ioTopic, store::record inRecord)
{
    ioTopic.put(std::move(inRecord));
    if (const auto retained = static_cast<std::uint64_t>(mOptions.retainRecords);
        ioTopic.end() > retained)
        ioTopic.first = std::max(ioTopic.first, ioTopic.end() - retained);
}

void site_store::read(const exchange_pointer &inExchange)
{
    const std::string name(inExchange->query("topic"));
    const std::uint64_t from = numberOf(inExchange->query("from"));
    const topic &source = mTopics[name];
    const auto wait = std::chrono::milliseconds(numberOf(inExchange->query("wait-ms")));
    if (from == source.end() && wait.count() > 0) {
        mWaiting.push_back({inExchange, name, from, core::boot_clock::now() + wait});
        return;
    }
    answerRead(inExchange, source, from);
}

void site_store::answerRead(const exchange_pointer &inExchange, const topic &inTopic,
                            std::uint64_t inFrom) const
{
    if (inFrom < inTopic.first || inFrom > inTopic.end()) {
        replyJson(inExchange, 410, json{{"first", inTopic.first}}.dump());
        return;
    }
    std::string body = bigEndian(inTopic.end(), 8) + bigEndian(inTopic.first, 8);
    for (std::uint64_t offset = inFrom; offset < inTopic.end(); ++offset)
        body.append(encodeRecord(inTopic.records[offset]));
    reply(inExchange, 200, "application/octet-stream", body);
}

void site_store::newest(const exchange_pointer &inExchange)
{
    const topic &source = mTopics[std::string(inExchange->query("topic"))];
    const std::string after(inExchange->query("after"));
    auto next = after.empty() ? source.newest.begin() : source.newest.upper_bound(after);
    json items = json::array();
    for (; next != source.newest.end() && items.size() < cNewestPage; ++next)
        items.push_back({{"key", next->first},
                         {"value", encodeBase64(*next->second.value)},
                         {"offset", next->second.position.offset()}});
    replyJson(
        inExchange, 200,
        json{{"items", items}, {"has-more", next != source.newest.end()}, {"end", source.end()}}
            .dump());
}

void site_store::control(const exchange_pointer &inExchange)
{
    const json body = json::parse(inExchange->body(), nullptr, false);
    if (!body.is_object()) {
        inExchange->replyJson(400, R"({"error":"the body is not a JSON object"})");
        return;
    }
    if (inExchange->path() == "/control/put") {
        store::record record{.key = body.value("key", "")};
        if (body.contains("value"))
            record.value = body.at("value").dump();
        put(mTopics[body.value("topic", "")], std::move(record));
        answerWaiting();
    } else if (inExchange->path() == "/control/heartbeat") {
        if (mMode != "none" || isAway()) {
            inExchange->replyJson(503, "{}");
            return;
        }
        const std::string key = body.value("key", "");
        const std::string entry = body.value("entry", json::object()).dump();
        topic &endpoints = mTopics[platform::cEndpointTopic];
        const auto known = endpoints.newest.find(key);
        mHeartbeats[key] = core::boot_clock::now();
        if (body.value("gone", false)) {
            mHeartbeats.erase(key);
            put(endpoints, {.key = key});
        } else if (known == endpoints.newest.end() || differ(*known->second.value, entry)) {
            put(endpoints, {.key = key, .value = entry});
        }
        answerWaiting();
    } else if (inExchange->path() == "/control/restore") {
        restoreTopics(body);
    } else {
        setFaults(body);
    }
    inExchange->replyJson(200, "{}");
}

void site_store::setFaults(const json &inFaults)
{
    mMode = inFaults.value("mode", mMode);
    mLoseAppends = inFaults.value("lose", mLoseAppends);
    mLateAppends = inFaults.value("late", mLateAppends);
    mLateBy = std::chrono::milliseconds(inFaults.value("late_ms", 1500));
    if (inFaults.value("forget", false)) {
        for (auto &[name, target] : mTopics)
            target.first = target.end();
    }
    mHost.facts().write("store_fault", {{"mode", mMode}});
    // Calls that wait are answered by nothing while the store is away.
    if (mMode == "reset")
        abortWaiting();
}

void site_store::abortWaiting()
{
    for (const waiting_read &waiting : mWaiting)
        waiting.exchange->abort();
    mWaiting.clear();
}

void site_store::restoreTopics(const json &inRestore)
{
    const core::time_point now = core::boot_clock::now();
    const core::time_point copiedAt = now - std::chrono::milliseconds(inRestore.value("age_ms", 0));
    mRestore.begunAt = now;
    mRestore.returnsAt = now + std::chrono::milliseconds(inRestore.value("away_ms", 0));
    mRestore.rewritesAt = inRestore.contains("rewrite_ms")
        ? mRestore.returnsAt + std::chrono::milliseconds(inRestore.value("rewrite_ms", 0))
        : core::time_point::max();
    for (auto &[name, target] : mTopics) {
        const auto end = static_cast<std::uint64_t>(std::ranges::upper_bound(target.times, copiedAt)
                                                    - target.times.begin());
        mHost.facts().write(
            "restore",
            {{"topic", name}, {"era", mEra + 1}, {"end_before", target.end()}, {"end", end}});
        for (std::uint64_t offset = end; name == platform::cOperatorTopic && offset < target.end();
             ++offset)
            mRestore.lost.insert_or_assign(target.records[offset].key, target.records[offset]);
        target.truncate(end);
    }
    ++mEra;
    // Appends that are held up end with the process that held them.
    mLate.clear();
    abortWaiting();
}

/// Writes the operator's lost records again, except those that were replaced since.
void site_store::rewriteLost()
{
    topic &target = mTopics[platform::cOperatorTopic];
    for (auto &entry : std::exchange(mRestore.lost, {})) {
        store::record &lost = entry.second;
        const bool isReplaced
            = std::ranges::any_of(target.records, [&](const store::record &inRecord) {
                  return inRecord.key == lost.key
                      && target.times[inRecord.position.offset()] >= mRestore.begunAt;
              });
        if (!isReplaced)
            put(target, std::move(lost));
    }
    answerWaiting();
}

bool site_store::isAway() const
{
    return core::boot_clock::now() < mRestore.returnsAt;
}

void site_store::answerWaiting()
{
    if (mMode != "none" || isAway())
        return;
    const core::time_point now = core::boot_clock::now();
    std::vector<waiting_read> kept;
    for (waiting_read &waiting : std::exchange(mWaiting, {})) {
        if (waiting.exchange->isClosed())
            continue;
        const topic &source = mTopics[waiting.topicName];
        if (!waiting.topicName.empty() && (waiting.from != source.end() || waiting.until <= now))
            answerRead(waiting.exchange, source, waiting.from);
        else
            kept.push_back(std::move(waiting));
    }
    mWaiting.insert(mWaiting.end(), kept.begin(), kept.end());
}

void site_store::tick()
{
    const core::time_point now = core::boot_clock::now();
    if (!mRestore.lost.empty() && mRestore.rewritesAt <= now)
        rewriteLost();
    const auto silence = std::chrono::milliseconds(mOptions.heartbeatMs) * cSilentIntervals;
    for (auto entry = mHeartbeats.begin(); entry != mHeartbeats.end();) {
        if (now - entry->second < silence) {
            ++entry;
            continue;
        }
        put(mTopics[platform::cEndpointTopic], {.key = entry->first});
        entry = mHeartbeats.erase(entry);
    }
    std::erase_if(mLate, [&](const late_append &inLate) {
        if (inLate.at > now)
            return false;
        appendBody(mTopics[inLate.topicName], inLate.body, inLate.condition);
        return true;
    });
    answerWaiting();
}

} // namespace standins
