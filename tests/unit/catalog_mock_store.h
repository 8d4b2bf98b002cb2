#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/store/record.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace corneltally::catalog_test {

using namespace std::chrono_literals;

/// A store whose topics are filled by the test. Reads never wait for new records.
class mock_store
{
public:
    using read_handler = std::function<void(const store::read_result &)>;

    struct topic
    {
        std::vector<store::record> records;
        std::uint64_t first = 0;
        std::uint64_t end = 0;
        std::uint64_t era = 0;

        void put(const std::string &inKey, std::optional<std::string> inValue)
        {
            records.push_back({inKey, std::move(inValue), {era, end++}});
        }

        /// Comes back from a copy that ends at an offset.
        void restore(std::uint64_t inEnd)
        {
            ++era;
            end = inEnd;
            first = std::min(first, inEnd);
            records.resize(inEnd);
            for (store::record &record : records)
                record.position = {era, record.position.offset()};
        }
    };
    using topic_map = std::map<std::string, topic>;

    /// Clients of several instances may share their topics.
    explicit mock_store(kernel::event_loop &inLoop,
                        std::shared_ptr<topic_map> inTopics = std::make_shared<topic_map>())
        : mLoop(inLoop)
        , mTopics(std::move(inTopics))
        , topics(*mTopics)
    { }

    void readNewest(const std::string &inTopic, const std::string & /*inAfterKey*/,
                    read_handler inHandler)
    {
        ++newestReads;
        std::map<std::string, store::record> newest;
        for (const store::record &record : topics[inTopic].records)
            newest[record.key] = record;
        store::read_result result = answerOf(topics[inTopic]);
        for (const auto &[key, record] : newest) {
            if (record.value)
                result.records.push_back(record);
        }
        answer(std::move(inHandler), std::move(result));
    }

    void read(const std::string &inTopic, std::uint64_t inFrom, core::duration inWait,
              read_handler inHandler)
    {
        waits[inTopic].push_back(inWait);
        const topic &source = topics[inTopic];
        store::read_result result = answerOf(source);
        if (inFrom < source.first || inFrom > source.end)
            result.outcome = store::read_result::status::expired;
        for (const store::record &record : source.records) {
            if (record.position.offset() >= inFrom)
                result.records.push_back(record);
        }
        // A read on a dead connection is never answered.
        if (silentTopics.erase(inTopic) > 0)
            return;
        // The read waits, and later records do not end the wait.
        const bool waits = sleepyTopics.contains(inTopic) && result.records.empty()
            && inWait > core::duration::zero();
        answer(std::move(inHandler), std::move(result), waits ? inWait : answerTime);
    }

    void append(const std::string &inTopic, const std::vector<store::record> &inRecords,
                std::optional<store::position> inExpectedEnd,
                std::function<void(const store::append_result &)> inHandler)
    {
        store::append_result result{.outcome = store::append_result::status::conflict};
        topic &target = topics[inTopic];
        if (!inExpectedEnd || inExpectedEnd->offset() == target.end) {
            result = {store::append_result::status::accepted, {target.era, target.end}};
            for (const store::record &record : inRecords)
                put(inTopic, record.key, record.value);
        }
        result.era = target.era;
        mLoop.post([handler = std::move(inHandler), result] { handler(result); });
    }

    void put(const std::string &inTopic, const std::string &inKey,
             std::optional<std::string> inValue)
    {
        topics[inTopic].put(inKey, std::move(inValue));
    }

    /// Drops the history except for the newest record of each key.
    void compact(const std::string &inTopic) { topics[inTopic].first = topics[inTopic].end; }

    bool unavailable = false;
    core::duration answerTime = 2ms;
    std::set<std::string> silentTopics;
    std::set<std::string> sleepyTopics;
    int newestReads = 0;
    /// Wait times of the received reads by topic.
    std::map<std::string, std::vector<core::duration>> waits;

private:
    store::read_result answerOf(const topic &inTopic) const
    {
        using status = store::read_result::status;
        return {.outcome = unavailable ? status::unavailable : status::done,
                .end = {inTopic.era, inTopic.end},
                .era = inTopic.era};
    }

    void answer(read_handler inHandler, store::read_result inResult)
    {
        answer(std::move(inHandler), std::move(inResult), answerTime);
    }

    void answer(read_handler inHandler, store::read_result inResult, core::duration inTime)
    {
        mTimers.push_back(std::make_unique<kernel::timer>(
            mLoop,
            [handler = std::move(inHandler), result = std::move(inResult)] { handler(result); }));
        mTimers.back()->startOnce(inTime);
    }

    kernel::event_loop &mLoop;
    std::shared_ptr<topic_map> mTopics;
    std::vector<std::unique_ptr<kernel::timer>> mTimers;

public:
    topic_map &topics;
};

} // namespace corneltally::catalog_test
