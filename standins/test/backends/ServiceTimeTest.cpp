#include "backends/run/ServiceTime.h"
#include "backends/run/ServerFaults.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::standins;

TEST_CASE("without spread each time is the median by its factors") {
  ServiceTime Times({.Median = Microseconds(100),
                     .Sigma = 0,
                     .ColdStart = Milliseconds(10),
                     .ColdFactor = 3},
                    1);
  CHECK(Times.draw(Milliseconds(10), 1) == Microseconds(100));
  CHECK(Times.draw(Milliseconds(10), 4) == Microseconds(400));
  CHECK(Times.draw(Milliseconds(0), 1) == Microseconds(300));
  CHECK(Times.draw(Milliseconds(5), 1) == Microseconds(200));
}

TEST_CASE("the same seed draws the same times") {
  ServiceTimeOptions Options{.Median = Microseconds(100), .TailRatio = 0.1};
  ServiceTime Left(Options, 7);
  ServiceTime Right(Options, 7);
  for (int I = 0; I < 100; ++I)
    CHECK(Left.draw(Milliseconds(0), 1) == Right.draw(Milliseconds(0), 1));
}

TEST_CASE("faults accumulate until they are cleared") {
  ServerFaults Faults = withFaults({}, {{"slow", 3}}).value();
  Faults = withFaults(Faults, {{"truncate", true}}).value();
  CHECK(Faults.Slow == 3);
  CHECK(Faults.TruncateRatio == 1);
  Faults = withFaults(Faults, {{"clear", true}, {"stall", true}}).value();
  CHECK(Faults.Slow == 1);
  CHECK(Faults.Stall);
  CHECK_FALSE(withFaults(Faults, {{"lie_health", "maybe"}}));
  CHECK_FALSE(withFaults(Faults, {{"fail_ratio", 2}}));
}
