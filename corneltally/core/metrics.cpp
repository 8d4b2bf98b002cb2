#include "corneltally/core/metrics.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace corneltally::core {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> cQuantiles{0.5, 0.95, 0.99};
constexpr std::string_view cPrefix = "corneltally_";

using accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square_quantile>>;

std::string number(double inValue)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.9g", inValue);
    return text.data();
}

std::string_view withoutLabels(std::string_view inName)
{
    return inName.substr(0, inName.find('{'));
}

/// The P-square estimator has 2n + 3 markers for n quantiles and needs one sample for each.
constexpr std::size_t cMinSamples = 2 * cQuantiles.size() + 3;

/// Appends the type line of a metric, once for all of its label values.
void appendType(std::string &ioText, std::string &ioLast, std::string_view inName,
                std::string_view inType)
{
    const std::string_view name = withoutLabels(inName);
    if (name == ioLast)
        return;
    ioLast = name;
    ioText.append("# TYPE ").append(cPrefix).append(name).append(" ").append(inType).append("\n");
}

} // namespace

struct metrics::latency
{
    accumulator values{accumulators::extended_p_square_probabilities = cQuantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(std::string_view inName, std::uint64_t inAmount)
{
    const auto found = mCounters.find(inName);
    if (found == mCounters.end())
        mCounters.emplace(inName, inAmount);
    else
        found->second += inAmount;
}

void metrics::setGauge(std::string_view inName, double inValue)
{
    mGauges.insert_or_assign(std::string(inName), inValue);
}

void metrics::observe(std::string_view inName, duration inValue)
{
    auto found = mLatencies.find(inName);
    if (found == mLatencies.end())
        found = mLatencies.emplace(inName, std::make_unique<latency>()).first;
    found->second->values(std::chrono::duration<double>(inValue).count());
}

std::string metrics::toText() const
{
    std::string text;
    std::string last;
    for (const auto &[name, value] : mCounters) {
        appendType(text, last, name, "counter");
        text.append(cPrefix).append(name).append(" ").append(std::to_string(value)).append("\n");
    }
    for (const auto &[name, value] : mGauges) {
        appendType(text, last, name, "gauge");
        text.append(cPrefix).append(name).append(" ").append(number(value)).append("\n");
    }
    for (const auto &[name, entry] : mLatencies) {
        const std::string full = std::string(cPrefix) + name;
        appendType(text, last, name, "summary");
        for (const double quantile : cQuantiles) {
            const double value = accumulators::count(entry->values) < cMinSamples
                ? std::numeric_limits<double>::quiet_NaN()
                : accumulators::quantile(entry->values,
                                         accumulators::quantile_probability = quantile);
            text.append(full).append("{quantile=\"").append(number(quantile)).append("\"} ");
            text.append(std::isnan(value) ? "NaN" : number(value)).append("\n");
        }
        text.append(full).append("_sum ").append(number(accumulators::sum(entry->values)));
        text.append("\n").append(full).append("_count ");
        text.append(std::to_string(accumulators::count(entry->values))).append("\n");
    }
    return text;
}

} // namespace corneltally::core
