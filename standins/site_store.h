#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/exchange.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/store/record.h"
#include "standins/host.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace standins {

struct site_store_options
{
    host_options process{.name = "store"};
    /// Records that a topic keeps beside the newest one of each key.
    long long retainRecords = 10'000;
    /// Entries of endpoints are removed after three of these intervals without a heartbeat.
    long long heartbeatMs = 300;

    void addFlags(flag_parser &ioFlags);
};

/// The store of a platform as its published protocol describes it: keyed topics of one partition,
/// conditional appends, reads that wait, and the newest record of each key. It also removes the
/// entries of endpoints that went silent. All answers tell the era, which rises with each restore.
///
/// Control calls, which also work during an outage: POST /control/put {"topic","key","value"},
/// which without a value deletes the key; POST /control/heartbeat {"key","entry"}; POST
/// /control/faults {"mode":"none"|"busy"|"silent"|
/// "reset","lose":n,"late":n,"late_ms":t,"forget":true}; POST /control/restore {"age_ms":n,
/// "away_ms":n,"rewrite_ms":n}, which takes all topics back to what they were some time ago. The
/// store is out of reach until the second time is over; after the third one the operator writes
/// again what it had written since, without it never.
class site_store
{
public:
    site_store(host &inHost, const site_store_options &inOptions);

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    struct topic
    {
        /// All records from the first offset on, and when they were appended.
        std::vector<corneltally::store::record> records;
        std::vector<corneltally::core::time_point> times;
        /// First offset that reads still get.
        std::uint64_t first = 0;
        std::map<std::string, corneltally::store::record> newest;

        std::uint64_t end() const { return records.size(); }
        void put(corneltally::store::record inRecord);
        /// Removes the records from an offset on.
        void truncate(std::uint64_t inEnd);
    };
    struct waiting_read
    {
        exchange_pointer exchange;
        std::string topicName;
        std::uint64_t from = 0;
        corneltally::core::time_point until;
    };
    struct restore
    {
        corneltally::core::time_point begunAt;
        corneltally::core::time_point returnsAt;
        corneltally::core::time_point rewritesAt;
        /// The operator's lost records that are not written again yet, the newest of each key.
        std::map<std::string, corneltally::store::record> lost;
    };
    struct late_append
    {
        corneltally::core::time_point at;
        std::string topicName;
        std::string body;
        std::string condition;
    };

    void append(const exchange_pointer &inExchange);
    void read(const exchange_pointer &inExchange);
    void newest(const exchange_pointer &inExchange);
    void control(const exchange_pointer &inExchange);
    void setFaults(const nlohmann::json &inFaults);
    void restoreTopics(const nlohmann::json &inRestore);
    void rewriteLost();
    bool isAway() const;
    void abortWaiting();
    void reply(const exchange_pointer &inExchange, int inStatus, const std::string &inType,
               const std::string &inBody) const;
    void replyJson(const exchange_pointer &inExchange, int inStatus,
                   const std::string &inBody) const;
    void answerRead(const exchange_pointer &inExchange, const topic &inTopic,
                    std::uint64_t inFrom) const;
    /// Appends the records of a call's body, all or nothing. Returns the answer's status.
    int appendBody(topic &ioTopic, const std::string &inBody, const std::string &inCondition);
    void put(topic &ioTopic, corneltally::store::record inRecord);
    void answerWaiting();
    void tick();

    host &mHost;
    site_store_options mOptions;
    corneltally::kernel::timer mTimer;
    std::map<std::string, topic> mTopics;
    std::vector<waiting_read> mWaiting;
    std::vector<late_append> mLate;
    std::map<std::string, corneltally::core::time_point> mHeartbeats;
    std::string mMode = "none";
    std::uint64_t mEra = 1;
    /// The last restore.
    restore mRestore;
    long long mLoseAppends = 0;
    long long mLateAppends = 0;
    corneltally::core::duration mLateBy{};
};

} // namespace standins
