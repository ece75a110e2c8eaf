#include "coordination/replicas/ReplicaRegistry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{};
const ServerName Id("i-1");

ReplicaRecord makeRecord() {
  ReplicaRecord Record;
  Record.Id = Id;
  Record.Service = ServiceName("ledger");
  Record.Address = "10.0.0.1:80";
  Record.StartedAt = 100;
  Record.WarmupLeft = Milliseconds(3'000);
  return Record;
}

/// @return A registry with one entry, whose store answered every second until
/// Start.
ReplicaRegistry makeBook() {
  ReplicaRegistry Book(ReplicaRegistryOptions{});
  Book.put(makeRecord());
  for (int Ago = 6'000; Ago >= 0; Ago -= 1'000)
    Book.onStoreAnswered(Start - Milliseconds(Ago));
  return Book;
}

} // namespace

TEST_CASE("an entry that is removed while the store is available is dropped at "
          "once") {
  ReplicaRegistry Book = makeBook();
  CHECK(Book.remove(Id, Start));
  CHECK(Book.entries().empty());
}

TEST_CASE(
    "an entry that is removed around an outage stays in use for a while") {
  ReplicaRegistry Book({.RecoveryGrace = Milliseconds(2'600)});
  Book.put(makeRecord());
  Book.onStoreAnswered(Start);
  TimePoint Returned = Start + Milliseconds(5'000);
  Book.onStoreAnswered(Returned);
  CHECK_FALSE(Book.remove(Id, Returned + Milliseconds(10)));
  CHECK(Book.entries().contains(Id));
  CHECK_FALSE(Book.expire(Returned + Milliseconds(2'500)));
  Book.onStoreAnswered(Returned + Milliseconds(2'000));

  SUBCASE("it is dropped if it stays missing") {
    CHECK(Book.expire(Returned + Milliseconds(2'700)));
    CHECK(Book.entries().empty());
  }
  SUBCASE("it stays if it comes back") {
    Book.put(makeRecord());
    CHECK_FALSE(Book.expire(Returned + Milliseconds(2'700)));
    CHECK(Book.entries().contains(Id));
  }
}

TEST_CASE("a list without an entry counts as its removal") {
  ReplicaRegistry Book = makeBook();
  CHECK(Book.replaceAll({}, Start));
  CHECK(Book.entries().empty());
}

TEST_CASE("an older incarnation under the same id is ignored") {
  ReplicaRegistry Book({});
  ReplicaRecord Newer = makeRecord();
  Newer.StartedAt = 200;
  Newer.Address = "10.0.0.2:80";
  Book.put(Newer);
  CHECK_FALSE(Book.put(makeRecord()));
  CHECK(Book.entries().at(Id).Address == "10.0.0.2:80");
}

TEST_CASE("a progressing warm-up is no change, leaving is one") {
  ReplicaRegistry Book({});
  Book.put(makeRecord());
  ReplicaRecord Later = makeRecord();
  Later.WarmupLeft = Milliseconds(1'800);
  CHECK_FALSE(Book.put(Later));
  Later.State = ReplicaState::Leaving;
  CHECK(Book.put(Later));
}

TEST_CASE(
    "the followed VM's changes apply while this VM cannot reach the store") {
  // Guards against a VM that lost the store and then followed another VM, but
  // kept entries of replicas that had left for ever.
  ReplicaRegistry Book = makeBook();
  REQUIRE_FALSE(Book.remove(Id, Start + Milliseconds(10'000)));

  SUBCASE("a single change") {
    CHECK(Book.adopt({}, {Id}));
    CHECK(Book.entries().empty());
  }
  SUBCASE("everything") {
    CHECK(Book.adoptAll({}));
    CHECK(Book.entries().empty());
  }
}

TEST_CASE(
    "DRAIN: an outage ends with the followed VM's answers, not with this VM's "
    "next call") {
  ReplicaRegistry Book = makeBook();
  TimePoint Now = Start + Milliseconds(5'000);
  // For ten seconds the followed VM reports that the store answers it.
  for (int I = 0; I < 10; ++I) {
    Book.onStoreAnswered(Now);
    Now += Milliseconds(1'000);
  }
  Book.onStoreAnswered(Now);
  CHECK(Book.replaceAll({}, Now));
  CHECK(Book.entries().empty());
}

TEST_CASE("a removal is applied at once after an outage too short to expire "
          "entries") {
  ReplicaRegistry Book = makeBook();
  TimePoint Now = Start + Milliseconds(2'300);
  Book.onStoreAnswered(Now);
  CHECK(Book.remove(Id, Now));
}

TEST_CASE("a missing entry stays in use during a second outage") {
  ReplicaRegistry Book = makeBook();
  TimePoint Returned = Start + Milliseconds(5'000);
  Book.onStoreAnswered(Returned);
  REQUIRE_FALSE(Book.remove(Id, Returned));
  TimePoint Again = Returned + Milliseconds(9'000);
  CHECK_FALSE(Book.expire(Again));
  Book.onStoreAnswered(Again);
  Book.onStoreAnswered(Again + Milliseconds(2'000));
  CHECK_FALSE(Book.expire(Again + Milliseconds(2'500)));
  CHECK(Book.expire(Again + Milliseconds(2'600)));
}

TEST_CASE("an entry missing from a list stays in use only around an outage") {
  rc::check([] {
    const ReplicaRegistryOptions Options;
    ReplicaRegistry Book = makeBook();
    TimePoint Now = Start;
    TimePoint Before = Now;
    TimePoint OutageEnd = TimePoint::min();
    auto Gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 6'000));
    for (int Gap : Gaps) {
      Now += Milliseconds(Gap);
      if (Now - Before > Options.MinOutage)
        OutageEnd = Now;
      Book.onStoreAnswered(Now);
      Before = Now;
    }
    bool IsNearOutage = OutageEnd != TimePoint::min() &&
                        Now < OutageEnd + Options.RecoveryGrace;
    RC_ASSERT(Book.replaceAll({}, Now) != IsNearOutage);
    // It is not used after the grace period.
    TimePoint End = Now + Options.RecoveryGrace;
    Book.onStoreAnswered(Now + Milliseconds(2'000));
    Book.expire(End);
    RC_ASSERT(Book.entries().empty());
  });
}

TEST_CASE("a VM that starts during a store outage keeps the entries of the VM "
          "that it follows") {
  ReplicaRegistry Book({});
  Book.adopt({makeRecord()}, {});
  TimePoint Returned = Start + Milliseconds(500);
  Book.onStoreAnswered(Returned);
  CHECK_FALSE(Book.replaceAll({}, Returned));
  CHECK(Book.entries().contains(Id));
}
