#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/client.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "standins/answer_verifier.h"
#include "standins/ledger.h"
#include "standins/load_mix.h"
#include "standins/load_options.h"
#include "standins/load_report.h"

#include <memory>
#include <string>
#include <vector>

namespace standins {

/// Sends a deployment's calls to the entry instances at their own times, whether or not earlier
/// ones were answered, and verifies every answer.
class load_generator
{
public:
    load_generator(const deployment &inDeployment, const load_options &inOptions);

    /// Runs to the end and returns the report.
    load_report run();
    double seconds() const { return mOptions.seconds; }

private:
    /// A call and its attempts.
    struct running_call
    {
        planned_call plan;
        std::size_t target = 0;
        long long attempt = 0;
        /// An earlier attempt may have run.
        bool unclear = false;
        corneltally::core::time_point firstSent;
        double sentWall = 0;
        double firstTokenWall = 0;
        std::unique_ptr<answer_verifier> verifier;
    };
    using call_pointer = std::shared_ptr<running_call>;

    void arrive();
    void send(const call_pointer &inCall);
    void takeData(const call_pointer &inCall, std::string_view inData);
    void attemptEnded(const call_pointer &inCall, corneltally::http::call_outcome inOutcome);
    call_result resultOf(const running_call &inCall,
                         corneltally::http::call_outcome inOutcome) const;
    bool mayRetry(const running_call &inCall, call_result inResult) const;
    void retry(const call_pointer &inCall);
    void record(const running_call &inCall, call_result inResult);
    void end(const running_call &inCall, call_result inResult);
    void countDoubleRuns();

    const deployment &mDeployment;
    load_options mOptions;
    load_mix mMix;
    ledger mLedger;
    corneltally::kernel::event_loop mLoop;
    corneltally::http::client mClient;
    corneltally::kernel::timer mArrival;
    corneltally::kernel::timer mLimit;
    std::vector<corneltally::http::address> mTargets;
    corneltally::core::time_point mNextArrival;
    corneltally::core::time_point mLastArrival;
    std::size_t mOpen = 0;
    bool mArrivalsEnded = false;
    load_report mReport;
    std::map<std::string, std::size_t> mReportedDoubleRuns;
};

} // namespace standins
