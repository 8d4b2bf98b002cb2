#pragma once

#include "corneltally/http/exchange.h"
#include "standins/log_store.h"
#include "standins/outage.h"
#include "standins/rate_bucket.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace standins {

class host;
struct platform_options;

/// HTTP side of the append-only log: appends, long-poll reads, and their faults.
class log_service
{
public:
    log_service(host &inHost, const platform_options &inOptions);

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

    outage &state() { return mOutage; }
    /// The next appends to a stream (any stream if empty) take effect, but their answer is lost.
    void loseAnswers(std::string inStream, long long inCount);
    void setRetention(const std::string &inStream, log_store::retention inRetention);
    /// Starts an outage; reads that wait for records are closed.
    bool setOutage(std::string_view inMode, corneltally::core::duration inDelay);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    /// A read that waits for a record.
    struct waiting_read
    {
        exchange_pointer exchange;
        std::uint64_t from = 0;
        std::size_t limit = 0;
        std::uint64_t id = 0;
    };

    struct stream
    {
        log_store store;
        std::list<waiting_read> waiting;
    };

    stream &streamOf(const std::string &inName);
    void append(const std::string &inStream, const exchange_pointer &inExchange);
    void read(const std::string &inStream, const exchange_pointer &inExchange);
    void answerWaiting(stream &ioStream);
    void endWait(const std::string &inStream, std::uint64_t inId);
    bool losesAnswer(const std::string &inStream);

    host &mHost;
    outage mOutage;
    rate_bucket mAppendRate;
    log_store::retention mRetention;
    std::map<std::string, stream> mStreams;
    std::string mLoseStream;
    long long mLoseCount = 0;
    std::uint64_t mNextWait = 1;
};

} // namespace standins
