#include "coordination/budget/TokenBucket.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a token bucket holds one token and those of half a second") {
  TokenBucket Bucket(4, 0, Start);
  CHECK(Bucket.available(Start) == 0);
  CHECK(Bucket.untilNext(Start) == Milliseconds(250));
  CHECK(Bucket.available(Start + Milliseconds(500)) == doctest::Approx(2));
  CHECK(Bucket.available(Start + Milliseconds(9'000)) == doctest::Approx(3));
}

TEST_CASE("tokens are taken, owed and given back") {
  TokenBucket Bucket(2, 0, Start);
  TimePoint Now = Start + Milliseconds(500);
  Bucket.take(Now);
  Bucket.take(Now);
  CHECK(Bucket.available(Now) == doctest::Approx(-1));
  CHECK(Bucket.untilNext(Now) == Milliseconds(1'000));
  Bucket.giveBack(Now);
  CHECK(Bucket.available(Now) == doctest::Approx(0));
  Bucket.setRate(10, Now);
  CHECK(Bucket.untilNext(Now) == Milliseconds(100));
}

TEST_CASE("a debt at first delays the first token") {
  TokenBucket Bucket(4, -0.5, Start);
  CHECK(Bucket.untilNext(Start) == Milliseconds(375));
}

TEST_CASE("without a rate no token comes") {
  TokenBucket Bucket(0, 0, Start);
  CHECK(Bucket.available(Start + std::chrono::hours(2)) == 0);
  CHECK(Bucket.untilNext(Start) > std::chrono::minutes(10));
}
