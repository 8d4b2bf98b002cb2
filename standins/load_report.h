#pragma once

#include <map>
#include <string>
#include <vector>

namespace standins {

/// How a call of the load tool ended.
enum class call_result { completed, refused, failed };

/// Counts and times per kind of request, printed as a table.
class load_report
{
public:
    void addCall(const std::string &inKind, call_result inResult, int inTokens);
    void addFirstToken(const std::string &inKind, double inMs);
    void addWrong(const std::string &inKind) { ++mRows[inKind].wrong; }
    void setDoubleRuns(const std::string &inKind, std::size_t inCount);

    /// The table; rows are ordered by name. Rates refer to the given time.
    std::string toText(double inSeconds) const;
    /// Wrong answers and double runs.
    std::size_t wrongCount() const;
    bool everyKindCompleted() const;

private:
    struct row
    {
        std::size_t completed = 0;
        std::size_t refused = 0;
        std::size_t failed = 0;
        std::size_t wrong = 0;
        std::size_t doubleRuns = 0;
        long long tokens = 0;
        std::vector<double> firstTokenMs;
    };

    static double sQuantile(std::vector<double> inValues, double inFraction);

    std::map<std::string, row> mRows;
};

} // namespace standins
