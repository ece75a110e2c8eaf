#include "platform/PlatformFaults.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::standins;

TEST_CASE("a whole number loses the answers of that many writes") {
  PlatformFaults Faults(1);
  REQUIRE(Faults.apply({{"lose_answer_after_write", 2U}}));
  CHECK(Faults.shouldLoseAnswer());
  CHECK(Faults.shouldLoseAnswer());
  CHECK_FALSE(Faults.shouldLoseAnswer());
}

TEST_CASE("a fraction loses answers with that probability") {
  PlatformFaults Faults(1);
  REQUIRE(Faults.apply({{"lose_answer_after_write", 1.0}}));
  CHECK(Faults.shouldLoseAnswer());
  REQUIRE(Faults.apply({{"lose_answer_after_write", 0.0}}));
  CHECK_FALSE(Faults.shouldLoseAnswer());
}

TEST_CASE("faults that are not given keep their values") {
  PlatformFaults Faults(1);
  REQUIRE(Faults.apply({{"down", true}}));
  REQUIRE(Faults.apply({{"delay_ms", 5U}}));
  CHECK(Faults.down());
  CHECK(Faults.delay() == Milliseconds(5));
}

TEST_CASE("an invalid change changes nothing") {
  PlatformFaults Faults(1);
  CHECK_FALSE(Faults.apply({{"down", true}, {"delay_ms", -1}}));
  CHECK_FALSE(Faults.apply({{"down", true}, {"dwon", true}}));
  CHECK_FALSE(Faults.down());
}

TEST_CASE("a stale watch lags until it is switched off") {
  PlatformFaults Faults(1);
  REQUIRE(Faults.apply({{"stale_watch", true}, {"stale_watch_ms", 70U}}));
  CHECK(Faults.watchLag() == Milliseconds(70));
  REQUIRE(Faults.apply({{"stale_watch", false}}));
  CHECK(Faults.watchLag() == Milliseconds(0));
}
