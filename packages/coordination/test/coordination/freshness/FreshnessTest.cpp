#include "coordination/freshness/Freshness.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Milliseconds Second(1000);

Digest servingPeer(std::uint64_t StoreAge, std::uint64_t Left) {
  Digest Reply;
  Reply.Sender.Name = VmName("peer");
  Reply.StoreAgeMillis = StoreAge;
  Reply.ServeMillis = Left;
  Reply.Informed = true;
  return Reply;
}

} // namespace

TEST_CASE("a starting VM that reaches no other VM does not serve") {
  Freshness Own({});
  Own.tick(std::nullopt, Start);
  CHECK(!Own.mayServe(Start));
}

TEST_CASE("a list from the store counts from the time of its request") {
  Freshness Own({});
  Own.onStoreList(Start, Start + 3 * Second);
  CHECK(Own.mayServe(Start + 4 * Second));
  CHECK(!Own.mayServe(Start + 4 * Second + Milliseconds(1)));
}

TEST_CASE("a reply extends the lease by at most the peer's own, and only if "
          "covered") {
  Freshness Own({});
  Own.onReply(servingPeer(1000, 3000), false, Start, Start);
  CHECK(!Own.mayServe(Start));
  Own.onReply(servingPeer(1000, 3000), true, Start, Start + Second);
  CHECK(Own.mayServe(Start + 3 * Second));
  CHECK(!Own.mayServe(Start + 3 * Second + Milliseconds(1)));
}

TEST_CASE("a VM that hears a majority keeps serving during a store outage") {
  Freshness Own({});
  TimePoint Now = Start;
  for (; Now <= Start + 5 * Second; Now += Second) {
    Own.onStoreList(Now, Now);
    Own.tick(std::nullopt, Now);
  }
  REQUIRE(Own.isInformed());
  for (; Now < Start + 60 * Second; Now += Milliseconds(500)) {
    CHECK(Own.mayServe(Now));
    Own.tick(Now - Second, Now);
  }
  TimePoint Lost = Now - Second;
  Own.tick(Lost, Now);
  CHECK(Own.mayServe(Lost + 4 * Second));
  CHECK(!Own.mayServe(Lost + 5 * Second));
  Own.tick(Lost + 9 * Second, Lost + 10 * Second);
  CHECK(Own.mayServe(Lost + 10 * Second));
}

TEST_CASE("a majority does not extend the lease of a VM that just restarted") {
  Freshness Own({});
  Own.onReply(servingPeer(9000, 3000), true, Start, Start);
  Own.tick(Start, Start);
  CHECK(!Own.isInformed());
  Own.tick(Start + 3 * Second, Start + 3 * Second);
  CHECK(!Own.mayServe(Start + 4 * Second));
}

TEST_CASE("no VM serves if all restart during a store outage") {
  Freshness Own({});
  for (TimePoint Now = Start; Now < Start + 30 * Second; Now += Second) {
    Own.onReply(servingPeer(4294967295U, 0), true, Now, Now);
    Own.tick(Now, Now);
    CHECK(!Own.mayServe(Now));
  }
}

TEST_CASE("a submission needs a majority that was heard recently") {
  Freshness Own({});
  Own.onStoreList(Start, Start);
  CHECK(Own.maySubmit(Start, false, Start + Second));
  CHECK(!Own.maySubmit(Start, false, Start + 3 * Second));
  CHECK(Own.maySubmit(std::nullopt, true, Start + Second));
}
