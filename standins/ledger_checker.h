#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// A fact of the ledgers that contradicts a guarantee.
struct violation
{
    /// "P1" to "P10", as in section 2.1 of the design page.
    std::string guarantee;
    std::string message;
};

/// Reads the ledgers of the stand-ins and of the load tool and finds contradictions to the
/// guarantees.
class ledger_checker
{
public:
    /// Reads a ledger; returns false if the file cannot be read.
    bool addFile(const std::string &inFile);

    /// Adds one line. Lines that are not JSON are counted and reported as a violation, since a
    /// damaged ledger proves nothing.
    void addLine(std::string_view inLine);

    std::vector<violation> check() const;

    std::size_t factCount() const { return mFactCount; }
    std::size_t runCount() const { return mRuns.size() + mOrderRuns.size(); }
    std::size_t callCount() const { return mCalls.size(); }

private:
    /// A run at an engine or an application service.
    struct run_fact
    {
        double time = 0;
        std::string process;
        std::string requestId;
        /// The caller's "user" field, which is unique for each call of the load tool.
        std::string user;
        std::string adapter;
        std::string version;
        std::string account;
        double promptTokens = 0;
        double outputTokens = 0;
        std::string orderId;
        std::string order;
        std::string path;
    };

    /// A call of the load tool.
    struct call_fact
    {
        double sent = 0;
        std::string user;
        std::string requestId;
        std::string account;
        std::string keyId;
        std::string adapter;
        std::string version;
        std::string outcome;
        /// "not_run" or "unknown" if the answer was an error.
        std::string run;
        std::string problem;
        bool authorized = true;
    };

    struct leaving_fact
    {
        double time = 0;
        bool leaving = false;
    };

    struct account_limit
    {
        double rate = 0;
        double burst = 0;
    };

    /// Tokens of an account that were charged at an unknown moment of an interval.
    struct token_use
    {
        double earliest = 0;
        double latest = 0;
        double tokens = 0;
    };

    using violations = std::vector<violation>;

    const call_fact *findCall(const run_fact &inRun) const;
    void checkAdapters(violations &outFound) const;
    void checkAccounts(violations &outFound) const;
    void checkRates(violations &outFound) const;
    void checkAnswers(violations &outFound) const;
    void checkRefusals(violations &outFound) const;
    void checkOrders(violations &outFound) const;
    void checkLeaving(violations &outFound) const;
    std::map<std::string, std::vector<token_use>> usesByAccount() const;

    std::size_t mFactCount = 0;
    std::size_t mDamaged = 0;
    std::vector<run_fact> mRuns;
    std::vector<run_fact> mOrderRuns;
    std::map<std::string, double> mOutputTokens;
    std::map<std::string, call_fact> mCalls;
    std::map<std::string, std::vector<leaving_fact>> mLeaving;
    std::map<std::string, account_limit> mLimits;
    std::map<std::string, double> mWithdrawn;
    std::vector<std::string> mUnloadsInUse;
    std::vector<std::string> mSecretsSeen;
};

} // namespace standins
