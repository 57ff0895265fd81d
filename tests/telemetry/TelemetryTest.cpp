#include "almondpier/Telemetry.h"

#include <doctest/doctest.h>

using namespace almondpier;

TEST_CASE("quantiles are bounded by the bucket width and the maximum") {
  LatencyHistogram Histogram;
  CHECK(Histogram.quantile(0.5) == Duration(0));
  for (int Value = 1; Value <= 1'000; ++Value)
    Histogram.record(std::chrono::milliseconds(Value));
  CHECK(Histogram.count() == 1'000);
  CHECK(Histogram.quantile(0.5) >= std::chrono::milliseconds(500));
  CHECK(Histogram.quantile(0.5) <= std::chrono::milliseconds(570));
  CHECK(Histogram.quantile(1) == std::chrono::milliseconds(1'000));
  LatencyHistogram Sum(Histogram);
  Sum.merge(Histogram);
  CHECK(Sum.count() == 2'000);
}

TEST_CASE("metrics are cumulative and have one header for each name") {
  LatencyHistogram Histogram;
  Histogram.record(std::chrono::milliseconds(3));
  std::string Text = formatHistogram("request_seconds", "Time.", Histogram);
  CHECK(Text.find("request_seconds_bucket{le=\"+Inf\"} 1") !=
        std::string::npos);
  CHECK(Text.find("request_seconds_count 1") != std::string::npos);
  std::string Counters =
      formatCounters({{"reads_total{by=\"a\"}", "Reads.", 1},
                      {"reads_total{by=\"b\"}", "Reads.", 2}});
  CHECK(Counters == "# HELP reads_total Reads.\n# TYPE reads_total counter\n"
                    "reads_total{by=\"a\"} 1\nreads_total{by=\"b\"} 2\n");
  CHECK(processCounters().size() == 2);
}
