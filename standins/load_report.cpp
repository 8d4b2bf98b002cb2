#include "standins/load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace standins {

void load_report::addCall(const std::string &inKind, call_result inResult, int inTokens)
{
    row &target = mRows[inKind];
    target.tokens += inTokens;
    switch (inResult) {
    case call_result::completed:
        ++target.completed;
        break;
    case call_result::refused:
        ++target.refused;
        break;
    case call_result::failed:
        ++target.failed;
        break;
    }
}

void load_report::addFirstToken(const std::string &inKind, double inMs)
{
    mRows[inKind].firstTokenMs.push_back(inMs);
}

void load_report::setDoubleRuns(const std::string &inKind, std::size_t inCount)
{
    mRows[inKind].doubleRuns = inCount;
}

std::string load_report::toText(double inSeconds) const
{
    std::array<char, 200> line{};
    std::snprintf(line.data(), line.size(), "%-12s %9s %8s %7s %6s %12s %12s %9s %11s\n", "kind",
                  "completed", "refused", "failed", "wrong", "p50 first ms", "p95 first ms",
                  "tokens/s", "double runs");
    std::string text = line.data();
    for (const auto &[kind, entry] : mRows) {
        std::snprintf(line.data(), line.size(),
                      "%-12s %9zu %8zu %7zu %6zu %12.1f %12.1f %9.0f %11zu\n", kind.c_str(),
                      entry.completed, entry.refused, entry.failed, entry.wrong,
                      sQuantile(entry.firstTokenMs, 0.5), sQuantile(entry.firstTokenMs, 0.95),
                      static_cast<double>(entry.tokens) / inSeconds, entry.doubleRuns);
        text.append(line.data());
    }
    return text;
}

std::size_t load_report::wrongCount() const
{
    std::size_t count = 0;
    for (const auto &[kind, entry] : mRows)
        count += entry.wrong + entry.doubleRuns;
    return count;
}

bool load_report::everyKindCompleted() const
{
    return std::ranges::all_of(mRows, [](const auto &inRow) { return inRow.second.completed > 0; });
}

double load_report::sQuantile(std::vector<double> inValues, double inFraction)
{
    if (inValues.empty())
        return 0;
    const auto index = static_cast<std::size_t>(
        std::lround(inFraction * static_cast<double>(inValues.size() - 1)));
    std::ranges::nth_element(inValues, inValues.begin() + static_cast<std::ptrdiff_t>(index));
    return inValues[index];
}

} // namespace standins
