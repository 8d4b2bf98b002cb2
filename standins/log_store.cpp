#include "standins/log_store.h"

#include "corneltally/core/json_log.h"
#include "standins/ledger.h"

#include <algorithm>

namespace standins {

namespace core = corneltally::core;

namespace {

constexpr std::size_t cMaxAnswerBytes = 4 * 1024 * 1024;

} // namespace

std::uint64_t log_store::append(std::string inData, core::time_point inNow)
{
    const auto timeMs = static_cast<long long>(wallSeconds() * 1000);
    mRecords.push_back({mNext, timeMs, inNow, std::move(inData)});
    expire(inNow);
    return mNext++;
}

void log_store::expire(core::time_point inNow)
{
    // The count limit never drops the record that is being appended.
    const std::size_t keep = std::max<std::size_t>(mRetention.records, 1);
    while (mRecords.size() > keep
           || (!mRecords.empty() && mRecords.front().appended + mRetention.age < inNow))
        mRecords.pop_front();
}

std::string log_store::toJson(std::uint64_t inFrom, std::size_t inLimit) const
{
    std::string text = "{\"first\":" + std::to_string(first())
        + ",\"next\":" + std::to_string(mNext) + ",\"records\":[";
    const std::uint64_t start = std::max(inFrom, first());
    std::size_t count = 0;
    for (std::uint64_t offset = start; offset < mNext && count < inLimit; ++offset, ++count) {
        const record &entry = mRecords[offset - first()];
        if (count > 0)
            text.append(",");
        text.append("{\"offset\":").append(std::to_string(entry.offset));
        text.append(",\"time_ms\":").append(std::to_string(entry.timeMs));
        text.append(",\"data\":\"").append(core::jsonEscape(entry.data)).append("\"}");
        if (text.size() > cMaxAnswerBytes)
            break;
    }
    text.append("]}");
    return text;
}

} // namespace standins
