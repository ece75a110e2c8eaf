#include "daemon/metrics/Metrics.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::daemon;

TEST_CASE("counters and histograms are written in the Prometheus text format") {
  Metrics Collected;
  Collected.count("queries_total{outcome=\"complete\"}", 2);
  Collected.addLatency(ServiceName("claims"), ClassName("interactive"),
                       Milliseconds(7));
  std::string Text = Collected.prometheusText();
  CHECK(Text.find("carawaypond_queries_total{outcome=\"complete\"} 2\n") !=
        std::string::npos);
  CHECK(Text.find("carawaypond_query_milliseconds_bucket{service=\"claims\","
                  "class=\"interactive\",le=\"10\"} 1\n") != std::string::npos);
  CHECK(Text.find("le=\"5\"} 0\n") != std::string::npos);
}
