#include "standins/log_service.h"

#include "standins/host.h"
#include "standins/platform_options.h"

#include <algorithm>
#include <charconv>

namespace standins {

namespace core = corneltally::core;

namespace {

constexpr std::string_view cPrefix = "/v1/log/";
constexpr std::string_view cSuffix = "/records";
constexpr std::size_t cDefaultLimit = 100;
constexpr std::size_t cMaxLimit = 10'000;
constexpr long long cMaxWaitMs = 60'000;

std::string streamName(const std::string &inPath)
{
    const bool matches = inPath.starts_with(cPrefix) && inPath.ends_with(cSuffix)
        && inPath.size() > cPrefix.size() + cSuffix.size();
    if (!matches)
        return {};
    return inPath.substr(cPrefix.size(), inPath.size() - cPrefix.size() - cSuffix.size());
}

template <typename Number>
Number number(std::string_view inText, Number inDefault)
{
    Number value = inDefault;
    std::from_chars(inText.data(), inText.data() + inText.size(), value);
    return value;
}

} // namespace

log_service::log_service(host &inHost, const platform_options &inOptions)
    : mHost(inHost)
    , mOutage(inHost.loop())
    , mAppendRate(inOptions.appendsPerSecond, std::max(1.0, inOptions.appendsPerSecond / 4))
    , mRetention{.records = static_cast<std::size_t>(inOptions.retainRecords),
                 .age = core::duration(static_cast<long long>(inOptions.retainSeconds * 1e6))}
{ }

void log_service::handle(const exchange_pointer &inExchange)
{
    const std::string name = streamName(inExchange->path());
    if (name.empty()) {
        inExchange->replyJson(404, R"({"error":{"type":"not_found"}})");
        return;
    }
    mOutage.guard(inExchange, [this, inExchange, name] {
        if (inExchange->method() == "POST")
            append(name, inExchange);
        else
            read(name, inExchange);
    });
}

void log_service::loseAnswers(std::string inStream, long long inCount)
{
    mLoseStream = std::move(inStream);
    mLoseCount = inCount;
}

void log_service::setRetention(const std::string &inStream, log_store::retention inRetention)
{
    stream &target = streamOf(inStream);
    target.store.setRetention(inRetention);
    target.store.expire(core::boot_clock::now());
}

bool log_service::setOutage(std::string_view inMode, core::duration inDelay)
{
    if (!mOutage.set(inMode, inDelay))
        return false;
    const bool closes = mOutage.current() == outage::mode::refuse;
    for (auto &[name, entry] : mStreams) {
        if (closes) {
            for (const waiting_read &waiting : entry.waiting)
                waiting.exchange->abort();
            entry.waiting.clear();
        }
    }
    return true;
}

log_service::stream &log_service::streamOf(const std::string &inName)
{
    return mStreams.try_emplace(inName, stream{log_store(mRetention), {}}).first->second;
}

void log_service::append(const std::string &inStream, const exchange_pointer &inExchange)
{
    const core::time_point now = core::boot_clock::now();
    if (!mAppendRate.tryTake(now)) {
        inExchange->replyJson(429, R"({"error":{"type":"append_rate_exceeded"}})",
                              {{"Retry-After", "1"}});
        return;
    }
    stream &target = streamOf(inStream);
    const std::uint64_t offset = target.store.append(inExchange->body(), now);
    const bool lost = losesAnswer(inStream);
    mHost.facts().write("append",
                        {{"stream", inStream}, {"offset", offset}, {"answer_lost", lost}});
    if (lost)
        inExchange->abort();
    else
        inExchange->replyJson(200, "{\"offset\":" + std::to_string(offset) + "}");
    answerWaiting(target);
}

void log_service::read(const std::string &inStream, const exchange_pointer &inExchange)
{
    stream &source = streamOf(inStream);
    source.store.expire(core::boot_clock::now());
    // Offsets start at 1, so that a read from 0 learns where the stream begins.
    const auto from = number<std::uint64_t>(inExchange->query("from"), 0);
    const auto limit
        = std::clamp<std::size_t>(number(inExchange->query("limit"), cDefaultLimit), 1, cMaxLimit);
    const auto waitMs = std::min(number(inExchange->query("wait_ms"), 0LL), cMaxWaitMs);
    if (from < source.store.first()) {
        inExchange->replyJson(410, "{\"first\":" + std::to_string(source.store.first()) + "}");
    } else if (from < source.store.next() || waitMs <= 0) {
        inExchange->replyJson(200, source.store.toJson(from, limit));
    } else {
        const std::uint64_t id = mNextWait++;
        source.waiting.push_back({inExchange, from, limit, id});
        runLater(mHost.loop(), std::chrono::milliseconds(waitMs),
                 [this, inStream, id] { endWait(inStream, id); });
    }
}

void log_service::answerWaiting(stream &ioStream)
{
    // During an outage the new record stays unseen until the read times out.
    if (mOutage.current() == outage::mode::hang || mOutage.current() == outage::mode::refuse)
        return;
    std::erase_if(ioStream.waiting, [&](const waiting_read &inWaiting) {
        if (inWaiting.exchange->isClosed())
            return true;
        if (inWaiting.from >= ioStream.store.next())
            return false;
        inWaiting.exchange->replyJson(200, ioStream.store.toJson(inWaiting.from, inWaiting.limit));
        return true;
    });
}

void log_service::endWait(const std::string &inStream, std::uint64_t inId)
{
    stream &source = streamOf(inStream);
    const auto found = std::ranges::find(source.waiting, inId, &waiting_read::id);
    if (found == source.waiting.end())
        return;
    const waiting_read ended = *found;
    source.waiting.erase(found);
    mOutage.guard(ended.exchange, [ended, &source] {
        if (ended.from < source.store.first())
            ended.exchange->replyJson(410,
                                      "{\"first\":" + std::to_string(source.store.first()) + "}");
        else
            ended.exchange->replyJson(200, source.store.toJson(ended.from, ended.limit));
    });
}

bool log_service::losesAnswer(const std::string &inStream)
{
    if (mLoseCount <= 0 || (!mLoseStream.empty() && mLoseStream != inStream))
        return false;
    --mLoseCount;
    return true;
}

} // namespace standins
