#include "core/metrics/LatencyHistogram.h"
#include "core/metrics/PrometheusText.h"

#include <doctest/doctest.h>

#include <string>

using namespace carawaypond;

TEST_CASE("quantiles approximate the values that were added") {
  LatencyHistogram Histogram;
  for (int I = 1; I <= 1000; ++I)
    Histogram.add(Milliseconds(I));
  CHECK(Histogram.quantile(0.5) == doctest::Approx(500).epsilon(0.05));
  CHECK(Histogram.quantile(0.99) == doctest::Approx(990).epsilon(0.05));
  CHECK(Histogram.max() == 1000);
}

TEST_CASE("a histogram's buckets are cumulative and labels are escaped") {
  LatencyHistogram Histogram;
  Histogram.add(Milliseconds(3));
  Histogram.add(Milliseconds(60'000));
  std::string Text;
  appendHistogram(Text, "x_milliseconds", prometheusLabel("route", "a\"b\n"),
                  Histogram);
  CHECK(Text.find("x_milliseconds_bucket{route=\"a\\\"b\\n\",le=\"2\"} 0\n") !=
        std::string::npos);
  CHECK(Text.find("le=\"5\"} 1\n") != std::string::npos);
  CHECK(Text.find("le=\"30000\"} 1\n") != std::string::npos);
  CHECK(Text.find("le=\"+Inf\"} 2\n") != std::string::npos);
  CHECK(Text.find("x_milliseconds_count{route=\"a\\\"b\\n\"} 2\n") !=
        std::string::npos);
}
