#include "coordination/fleet/VmTracker.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

LoadedVm makeVm(const std::string &Name, std::uint64_t IncarnationNumber = 1,
                double Rate = 0) {
  LoadedVm Vm;
  Vm.Record.Name = VmName(Name);
  Vm.Record.IncarnationNumber = Incarnation(IncarnationNumber);
  Vm.Record.Centre = DataCentre("umea-a");
  Vm.Load = {.Capacity = 0.25, .AttemptRate = Rate};
  return Vm;
}

/// @return A board that hears three VMs.
VmTracker makeBoard(VmTrackerOptions Options = {}) {
  VmTracker Board(VmName("self"), Options);
  for (const char *Name : {"a", "b", "c"})
    Board.onHeartbeat(makeVm(Name), Start);
  return Board;
}

} // namespace

TEST_CASE("VMs take turns in the order of their names") {
  VmTracker Board = makeBoard();
  CHECK(Board.turn(Start) == VmTurn{.Rank = 3, .Count = 4});
  Board.onHeartbeat(makeVm("z"), Start);
  CHECK(Board.turn(Start) == VmTurn{.Rank = 3, .Count = 5});
  TimePoint Forgotten = Start + VmTrackerOptions().ForgetAfter;
  CHECK(Board.turn(Forgotten) == VmTurn{});
}

TEST_CASE("a VM that is silent or leaving is not usable") {
  VmTracker Board = makeBoard();
  CHECK(Board.usable(Start).size() == 3);
  TimePoint Later = Start + Milliseconds(2'500);
  Board.onHeartbeat(makeVm("a"), Later);
  LoadedVm Leaving = makeVm("b");
  Leaving.Record.State = VmState::Leaving;
  Board.onHeartbeat(Leaving, Later);
  REQUIRE(Board.usable(Later).size() == 1);
  CHECK(Board.usable(Later).front().Record.Name == VmName("a"));
}

TEST_CASE("a VM that hears hardly any VM keeps advertising the others") {
  VmTracker Board = makeBoard();
  CHECK(Board.usable(Start + Milliseconds(3'000)).size() == 3);
}

TEST_CASE("only a restart ends the leaving state") {
  VmTracker Board(VmName("self"), {});
  LoadedVm Leaving = makeVm("a");
  Leaving.Record.State = VmState::Leaving;
  Board.onHeartbeat(Leaving, Start);
  Board.onHeartbeat(makeVm("a"), Start);
  CHECK(Board.usable(Start).empty());
  CHECK(Board.onHeartbeat(makeVm("a", 2), Start));
  CHECK(Board.usable(Start).size() == 1);
}

TEST_CASE("the shares of all VMs follow the load and add up to 1") {
  const std::vector<LoadedVm> Vms = {makeVm("a", 1, 900), makeVm("b", 1, 600),
                                     makeVm("c"), makeVm("d")};
  double Sum = 0;
  std::vector<double> Shares;
  for (const LoadedVm &Self : Vms) {
    VmTracker Board(Self.Record.Name, {});
    for (const LoadedVm &Each : Vms)
      Board.onHeartbeat(Each, Start);
    Shares.push_back(Board.share(Self.Load, Start));
    Sum += Shares.back();
  }
  CHECK(Sum == doctest::Approx(1));
  CHECK(Shares[0] > Shares[1]);
  CHECK(Shares[1] > Shares[2]);
  CHECK(Shares[2] > 0);
}

TEST_CASE("a VM that was silent for too long is not listed, whatever is cut "
          "off") {
  VmTracker Board = makeBoard({.ListLimit = Milliseconds(8'000)});
  CHECK(Board.usable(Start + Milliseconds(7'900)).size() == 3);
  CHECK(Board.usable(Start + Milliseconds(8'001)).empty());
  Board.onHeartbeat(makeVm("a"), Start + Milliseconds(9'000));
  CHECK(Board.usable(Start + Milliseconds(9'000)).size() == 1);
}

TEST_CASE("a VM that is known only from the store is not listed") {
  // Guards against a VM that starts while it is partitioned off, and would send
  // callers to VMs whose records remained when they were gone.
  VmTracker Board(VmName("self"), {});
  for (const char *Name : {"a", "b", "c"})
    Board.onRecord(makeVm(Name).Record, StoreRevision(1), Start);
  CHECK(Board.usable(Start).empty());
  CHECK(Board.known().size() == 3);
  Board.onHeartbeat(makeVm("a"), Start);
  CHECK(Board.usable(Start).size() == 1);
}

TEST_CASE("VMs that were never heard do not look like a partition") {
  // Guards against callers that are sent to a VM that is gone, because the
  // records of earlier VMs remain in the store.
  VmTracker Board = makeBoard();
  for (const char *Name : {"x", "y", "z"})
    Board.onRecord(makeVm(Name).Record, StoreRevision(1), Start);
  TimePoint Later = Start + Milliseconds(2'500);
  for (const char *Name : {"a", "b"})
    Board.onHeartbeat(makeVm(Name), Later);
  CHECK(Board.usable(Later).size() == 2);
}

TEST_CASE("VMs that relay each other's reports do not keep a VM listed") {
  const DataCentre Other("umea-b");
  VmTracker First(VmName("x"), {});
  VmTracker Second(VmName("y"), {});
  First.onHeartbeat(makeVm("a"), Start);
  TimePoint Now = Start;
  for (; Now < Start + Milliseconds(10'000); Now += Milliseconds(500)) {
    for (const LoadedVm &Each : First.far(Other, Now))
      Second.onHeartbeat(Each, Now);
    for (const LoadedVm &Each : Second.far(Other, Now))
      First.onHeartbeat(Each, Now);
  }
  CHECK(First.usable(Now).empty());
  CHECK(Second.usable(Now).empty());
}

namespace {

constexpr Milliseconds Beat{500};

/// @return The incarnation of the only other VM that callers may use, or 0.
std::uint64_t usedIncarnation(const VmTracker &Board, TimePoint Now) {
  auto Usable = Board.usable(Now);
  if (Usable.size() != 1)
    return 0;
  return Usable.front().Record.IncarnationNumber.value();
}

} // namespace

TEST_CASE("a VM whose clock jumped back between two starts is taken up again") {
  // Guards against a restarted VM that the others ignore for 60 s.
  VmTracker Board(VmName("self"), {});
  Board.onHeartbeat(makeVm("a", 9), Start);

  SUBCASE("by its heartbeats, once the earlier start is silent") {
    TimePoint Now = Start + Beat;
    for (; Now < Start + Milliseconds(2'200); Now += Beat)
      CHECK_FALSE(Board.onHeartbeat(makeVm("a", 5), Now));
    CHECK(Board.onHeartbeat(makeVm("a", 5), Now));
    CHECK(usedIncarnation(Board, Now) == 5);
  }
  SUBCASE("by the store's revision, at once") {
    Board.onRecord(makeVm("a", 9).Record, StoreRevision(10), Start);
    Board.onRecord(makeVm("a", 5).Record, StoreRevision(20), Start);
    CHECK(usedIncarnation(Board, Start) == 0);
    Board.onHeartbeat(makeVm("a", 5), Start + Beat);
    CHECK(usedIncarnation(Board, Start + Beat) == 5);
  }
}

TEST_CASE("late heartbeats of an earlier start change nothing while a VM is "
          "heard") {
  // Guards against datagrams that arrive after the restart: of a start that is
  // dated before, and of one that is dated after the present one.
  VmTracker Board(VmName("self"), {});
  Board.onHeartbeat(makeVm("a", 9), Start);
  TimePoint Now = Start + Milliseconds(2'300);
  REQUIRE(Board.onHeartbeat(makeVm("a", 5), Now));
  for (int I = 0; I < 20; ++I) {
    Now += Beat;
    CHECK_FALSE(Board.onHeartbeat(makeVm("a", 5), Now));
    CHECK_FALSE(Board.onHeartbeat(makeVm("a", 9), Now));
    CHECK_FALSE(Board.onHeartbeat(makeVm("a", 3), Now));
    CHECK(usedIncarnation(Board, Now) == 5);
  }
}

TEST_CASE("a wrong order of two starts corrects itself") {
  // Guards against a late write or datagram of an earlier start that would hide
  // a VM for good.
  VmTracker Board(VmName("self"), {});
  Board.onHeartbeat(makeVm("a", 9), Start);
  Board.onRecord(makeVm("a", 9).Record, StoreRevision(10), Start);
  Board.onRecord(makeVm("a", 5).Record, StoreRevision(20), Start);
  TimePoint Now = Start;
  for (; Now <= Start + Milliseconds(2'200); Now += Beat)
    Board.onHeartbeat(makeVm("a", 9), Now);
  CHECK(Board.onHeartbeat(makeVm("a", 9), Now));
  CHECK(usedIncarnation(Board, Now) == 9);
}

TEST_CASE("a record that the store held before does not replace a VM that is "
          "heard") {
  // Guards against a VM that starts, is heard, and has not yet written over the
  // record of its earlier start, which is dated later.
  VmTracker Board(VmName("self"), {});
  Board.onHeartbeat(makeVm("a", 5), Start);
  Board.onRecord(makeVm("a", 9).Record, StoreRevision(10), Start);
  CHECK(usedIncarnation(Board, Start) == 5);
  Board.onRecord(makeVm("a", 9).Record, StoreRevision(0), Start);
  CHECK(usedIncarnation(Board, Start) == 5);
}

TEST_CASE("a record that a copy of the store holds does not replace a later "
          "start") {
  // Guards against a restarted VM that the others ignore, as the store went
  // back to the record of its earlier start.
  VmTracker Board(VmName("self"), {});
  StoreRevision Later(20, StoreEra(1));
  StoreRevision Copied(10, StoreEra(2));
  Board.onRecord(makeVm("a", 5).Record, StoreRevision(10, StoreEra(1)), Start);
  Board.onRecord(makeVm("a", 9).Record, Later, Start);
  Board.onHeartbeat(makeVm("a", 9), Start);
  SUBCASE("while it is heard") {
    Board.onRecord(makeVm("a", 5).Record, Copied, Start + Beat);
    CHECK(usedIncarnation(Board, Start + Beat) == 9);
  }
  SUBCASE("while it is silent") {
    TimePoint Now = Start + Milliseconds(3'000);
    Board.onRecord(makeVm("a", 5).Record, Copied, Now);
    Board.onHeartbeat(makeVm("a", 9), Now + Beat);
    CHECK(usedIncarnation(Board, Now + Beat) == 9);
  }
}
