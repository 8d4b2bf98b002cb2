// Guards against metrics that Prometheus cannot parse and against inaccurate quantiles.

#include "corneltally/core/metrics.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string &inText, const std::string &inPart)
{
    return inText.find(inPart) != std::string::npos;
}

} // namespace

TEST_CASE("a counter has one type line for all of its label values")
{
    core::metrics metrics;
    metrics.count("requests_total{outcome=\"a\"}");
    metrics.count("requests_total{outcome=\"b\"}", 2);
    metrics.count("requests_total{outcome=\"a\"}");
    metrics.setGauge("settings_version", 7);
    CHECK(metrics.toText()
          == "# TYPE corneltally_requests_total counter\n"
             "corneltally_requests_total{outcome=\"a\"} 2\n"
             "corneltally_requests_total{outcome=\"b\"} 2\n"
             "# TYPE corneltally_settings_version gauge\n"
             "corneltally_settings_version 7\n");
}

TEST_CASE("latencies have a sum, a count and accurate quantiles")
{
    core::metrics metrics;
    metrics.observe("request_seconds", 250ms);
    CHECK(contains(metrics.toText(), "corneltally_request_seconds{quantile=\"0.5\"} NaN\n"));
    CHECK(contains(metrics.toText(), "corneltally_request_seconds_sum 0.25\n"));
    CHECK(contains(metrics.toText(), "corneltally_request_seconds_count 1\n"));
    core::metrics many;
    for (int round = 0; round < 10'000; ++round)
        many.observe("request_seconds", 1ms * (round * 7919 % 1000));
    const std::string text = many.toText();
    const std::string name = "corneltally_request_seconds{quantile=\"0.95\"} ";
    const double quantile = std::stod(text.substr(text.find(name) + name.size()));
    CHECK(quantile == Approx(0.95).epsilon(0.03));
}
