#include "gateway/metrics/LatencyMetrics.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

TEST_CASE("latencies are recorded by route and by service") {
  LatencyMetrics Book;
  Book.addAnswer("find", Milliseconds(7));
  Book.addAttempt(ServiceName("s1"), Milliseconds(3));
  std::string Text = Book.prometheusText();
  CHECK(Text.find("# TYPE carawaypond_answer_milliseconds histogram\n") !=
        std::string::npos);
  CHECK(Text.find("carawaypond_answer_milliseconds_bucket{route=\"find\","
                  "le=\"10\"} 1\n") != std::string::npos);
  CHECK(
      Text.find("carawaypond_attempt_milliseconds_count{service=\"s1\"} 1\n") !=
      std::string::npos);
}

TEST_CASE("names beyond the limit are counted as \"other\"") {
  LatencyMetrics Book;
  for (std::size_t I = 0; I < LatencyMetrics::MaxNames + 10; ++I)
    Book.addAnswer("r" + std::to_string(I), Milliseconds(1));
  std::string Text = Book.prometheusText();
  CHECK(Text.find("_count{route=\"other\"} 10\n") != std::string::npos);
}
