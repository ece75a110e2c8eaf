#include "http/MemoryBudget.h"
#include "http/MemoryReservation.h"

#include <doctest/doctest.h>

using namespace carawaypond::http;

namespace {

constexpr std::size_t Free = MemoryReservation::FreeBytes;
constexpr std::size_t Limit = 100 * Free;

} // namespace

TEST_CASE("small messages need no memory of the budget") {
  auto Budget = std::make_shared<MemoryBudget>(0);
  MemoryReservation Small(Budget);
  CHECK(Small.tryGrow(Free));
  CHECK_FALSE(Small.tryGrow(Free + 1));
  CHECK(Budget->used() == 0);
}

TEST_CASE("memory returns when a reservation ends") {
  auto Budget = std::make_shared<MemoryBudget>(Limit);
  {
    MemoryReservation Held(Budget);
    CHECK(Held.tryGrow(Free + Limit));
    CHECK(Budget->used() == Limit);
  }
  CHECK(Budget->used() == 0);
}

// Endless answers kept the memory, and those of sound replicas failed.
TEST_CASE("LOST: the largest message makes room for a smaller one") {
  auto Budget = std::make_shared<MemoryBudget>(Limit);
  int Dropped = 0;
  MemoryReservation Large(Budget, [&] { ++Dropped; });
  MemoryReservation Medium(Budget, [&] { Dropped += 10; });
  CHECK(Medium.tryGrow(Free + Limit / 4));
  CHECK(Large.tryGrow(Free + 3 * Limit / 4));
  MemoryReservation Small(Budget, [] {});
  CHECK(Small.tryGrow(Free + Limit / 10));
  CHECK(Dropped == 1);
  CHECK(Large.bytes() == 0);
  CHECK(Budget->used() == Limit / 4 + Limit / 10);
}

TEST_CASE(
    "a message is not dropped for a larger one, nor once it is complete") {
  auto Budget = std::make_shared<MemoryBudget>(Limit);
  int Dropped = 0;
  MemoryReservation Held(Budget, [&] { ++Dropped; });
  CHECK(Held.tryGrow(Free + Limit / 2));
  MemoryReservation Larger(Budget, [] {});
  CHECK_FALSE(Larger.tryGrow(Free + 3 * Limit / 4));
  CHECK(Held.tryGrow(Free + Limit));
  Held.retain();
  MemoryReservation Small(Budget, [] {});
  CHECK_FALSE(Small.tryGrow(Free + Limit / 10));
  CHECK(Dropped == 0);
}
