#pragma once

#include "corneltally/http/exchange.h"

#include <map>
#include <memory>
#include <string>

namespace standins {

class host;

/// The application stand-in: counts every run per order, and misbehaves on demand.
class application_service
{
public:
    /// The service time is spent before a run takes effect.
    application_service(host &inHost, double inServiceMs);

    void handle(const std::shared_ptr<corneltally::http::exchange> &inExchange);

private:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    /// Faults that the control API switches; counts say for how many requests, -1 for all.
    struct faults
    {
        double delayMs = 0;
        double lateMs = 0;
        long long closeAfterRun = 0;
        long long refuse = 0;
    };

    void control(const exchange_pointer &inExchange);
    void run(const exchange_pointer &inExchange);
    void answer(const exchange_pointer &inExchange, const std::string &inOrder, long long inRuns);
    void listOrders(const exchange_pointer &inExchange) const;
    static bool sTakeOne(long long &ioCount);

    host &mHost;
    double mServiceMs;
    faults mFaults;
    bool mLeaving = false;
    std::map<std::string, long long> mRunsByOrderId;
    std::map<std::string, long long> mRunsByOrder;
};

} // namespace standins
