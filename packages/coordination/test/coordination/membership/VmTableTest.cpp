#include "coordination/membership/VmTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace carawaypond;

namespace {

VmRecord arbitraryRecord() {
  VmRecord Record;
  Record.Name = VmName("vm-" + std::to_string(*rc::gen::inRange(0, 4)));
  Record.IncarnationNumber =
      Incarnation(*rc::gen::inRange<std::uint64_t>(0, 3));
  Record.Counter = *rc::gen::inRange<std::uint64_t>(0, 4);
  Record.State = static_cast<VmState>(*rc::gen::inRange(0, 4));
  return Record;
}

} // namespace

TEST_CASE("records converge in whatever order they are merged") {
  CHECK(rc::check([] {
    std::vector<VmRecord> Records;
    for (int I = *rc::gen::inRange(0, 20); I > 0; --I)
      Records.push_back(arbitraryRecord());
    VmTable Left(16);
    VmTable Right(16);
    for (const VmRecord &Record : Records)
      Left.merge(Record);
    std::reverse(Records.begin(), Records.end());
    for (const VmRecord &Record : Records)
      Right.merge(Record);
    RC_ASSERT(Left.records() == Right.records());
    for (const VmRecord &Record : Records)
      RC_ASSERT(Left.merge(Record) == VmTable::Change::None);
  }));
}

TEST_CASE("a later heartbeat overrides a suspicion, and a restart any state") {
  VmRecord Live{.Name = VmName("a"),
                .IncarnationNumber = Incarnation(1),
                .Centre = {},
                .PeerAddress = {},
                .CallerAddress = {},
                .OperatorAddress = {},
                .Counter = 3};
  VmRecord Suspect = Live;
  Suspect.State = VmState::Suspect;
  CHECK(VmTable::supersedes(Suspect, Live));
  VmRecord Later = Live;
  ++Later.Counter;
  CHECK(VmTable::supersedes(Later, Suspect));
  VmRecord Restarted = Live;
  Restarted.IncarnationNumber = Incarnation(2);
  Restarted.Counter = 0;
  Suspect.State = VmState::Gone;
  CHECK(VmTable::supersedes(Restarted, Suspect));
}

TEST_CASE("rotation returns every record") {
  VmTable Table(16);
  for (int I = 0; I < 7; ++I) {
    VmRecord Record;
    Record.Name = VmName(std::to_string(I));
    Table.merge(Record);
  }
  std::vector<std::string> Seen;
  for (int Round = 0; Round < 4; ++Round)
    for (const VmRecord &Record : Table.rotate(2))
      Seen.push_back(Record.Name.value());
  std::sort(Seen.begin(), Seen.end());
  Seen.erase(std::unique(Seen.begin(), Seen.end()), Seen.end());
  CHECK(Seen.size() == 7);
}
