#pragma once

#include "standins/load_mix.h"

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace standins {

/// Reads the answer to one call and checks that it is whole and belongs to this call: adapter,
/// version, request, and every token index once and in order.
class answer_verifier
{
public:
    explicit answer_verifier(const planned_call &inCall);

    void setHead(int inStatus, std::string_view inRequestId);
    void addData(std::string_view inData);
    /// The answer ended properly.
    void finish();

    int status() const { return mStatus; }
    /// Tokens received so far.
    int tokens() const { return mTokens; }
    bool isComplete() const { return mComplete; }
    /// Why the answer is wrong; empty if it is right so far. Error answers are not wrong.
    const std::string &problem() const { return mProblem; }

    /// From an error answer: "not_run", "unknown", or empty.
    const std::string &run() const { return mRun; }
    /// Type and message of an error answer.
    const std::string &error() const { return mError; }
    const std::string &requestId() const { return mRequestId; }
    /// Runs of the order that the application reports.
    long long reportedRuns() const { return mReportedRuns; }

private:
    void takeEvent(std::string_view inEvent);
    void takeText(std::string_view inText);
    void takeToken(std::string_view inToken);
    void finishModelAnswer();
    void finishServiceAnswer();
    void takeError(const nlohmann::json &inError);
    void report(std::string inProblem);

    planned_call mCall;
    std::string mModel;
    int mStatus = 0;
    std::string mRequestId;
    std::string mRunId;
    std::string mBuffer;
    int mTokens = 0;
    bool mDoneSeen = false;
    bool mErrorSeen = false;
    bool mComplete = false;
    std::string mProblem;
    std::string mRun;
    std::string mError;
    long long mReportedRuns = 0;
};

} // namespace standins
