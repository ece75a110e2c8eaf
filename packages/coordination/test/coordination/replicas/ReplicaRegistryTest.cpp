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

StoreRevision rev(std::uint64_t Value) { return StoreRevision(Value); }

KnownReplica makeKnown(std::uint64_t Revision) {
  return {.Record = makeRecord(), .Revision = rev(Revision)};
}

/// @brief The store answers at @p At, and the list matches it.
void answer(ReplicaRegistry &Book, TimePoint At) {
  Book.onStoreContact({.Since = At, .Until = At}, At);
  Book.confirm(At);
}

/// @brief Reads a list without entries from the store.
bool listNothing(ReplicaRegistry &Book, TimePoint Now) {
  return Book.merge(ReplicaList{.AsOf = rev(50), .Replicas = {}}, Now);
}

bool removeEntry(ReplicaRegistry &Book, TimePoint Now) {
  return Book.remove({.Id = Id, .Revision = rev(20)}, Now);
}

/// @return A registry with one entry, whose store answered every second until
/// Start.
ReplicaRegistry makeBook() {
  ReplicaRegistry Book(ReplicaRegistryOptions{});
  Book.put(makeRecord(), rev(10));
  for (int Ago = 6'000; Ago >= 0; Ago -= 1'000)
    answer(Book, Start - Milliseconds(Ago));
  return Book;
}

} // namespace

TEST_CASE("an entry that is removed while the store is available is dropped at "
          "once") {
  ReplicaRegistry Book = makeBook();
  CHECK(removeEntry(Book, Start));
  CHECK(Book.entries().empty());
}

TEST_CASE(
    "an entry that is removed around an outage stays in use for a while") {
  ReplicaRegistry Book({.RecoveryGrace = Milliseconds(2'600)});
  Book.put(makeRecord(), rev(10));
  answer(Book, Start);
  TimePoint Returned = Start + Milliseconds(5'000);
  answer(Book, Returned);
  CHECK_FALSE(removeEntry(Book, Returned + Milliseconds(10)));
  CHECK(Book.entries().contains(Id));
  CHECK_FALSE(Book.expire(Returned + Milliseconds(2'500)));
  answer(Book, Returned + Milliseconds(2'000));

  SUBCASE("it is dropped if it stays missing") {
    Book.confirm(Returned + Milliseconds(2'700));
    CHECK(Book.expire(Returned + Milliseconds(2'700)));
    CHECK(Book.entries().empty());
  }
  SUBCASE("it stays if it comes back") {
    Book.put(makeRecord(), rev(30));
    Book.confirm(Returned + Milliseconds(2'700));
    CHECK_FALSE(Book.expire(Returned + Milliseconds(2'700)));
    CHECK(Book.entries().contains(Id));
  }
}

TEST_CASE("a list without an entry counts as its removal") {
  ReplicaRegistry Book = makeBook();
  CHECK(listNothing(Book, Start));
  CHECK(Book.entries().empty());
}

TEST_CASE("DRAIN: the store's revision orders the starts of a replica, not "
          "their dates") {
  // Guards against a start that is dated before an earlier one, as the clock of
  // its machine jumped back: its drain and its address went unseen.
  ReplicaRegistry Book({});
  ReplicaRecord Before = makeRecord();
  Before.StartedAt = 200;
  Book.put(Before, rev(1));
  ReplicaRecord Restarted = makeRecord();
  Restarted.Address = "10.0.0.2:80";
  CHECK(Book.put(Restarted, rev(2)));
  CHECK(Book.entries().at(Id).Record == Restarted);
  ReplicaRecord Leaving = Restarted;
  Leaving.State = ReplicaState::Leaving;
  CHECK(Book.put(Leaving, rev(3)));
  CHECK(Book.entries().at(Id).Record.State == ReplicaState::Leaving);

  SUBCASE("what another VM knows of the earlier start does not count") {
    ReplicaList Old{.AsOf = rev(1), .Replicas = {}};
    Old.Replicas.push_back({.Record = Before, .Revision = rev(1)});
    Book.merge(Old, Start);
    CHECK(Book.entries().at(Id).Record == Leaving);
  }
  SUBCASE("an entry that the earlier start wrote late is in use until the next "
          "one") {
    CHECK(Book.put(Before, rev(4)));
    CHECK(Book.put(Leaving, rev(5)));
    CHECK(Book.entries().at(Id).Record == Leaving);
  }
}

TEST_CASE("a progressing warm-up is no change, leaving is one") {
  ReplicaRegistry Book({});
  Book.put(makeRecord(), rev(10));
  ReplicaRecord Later = makeRecord();
  Later.WarmupLeft = Milliseconds(1'800);
  CHECK_FALSE(Book.put(Later, rev(11)));
  Later.State = ReplicaState::Leaving;
  CHECK(Book.put(Later, rev(12)));
}

TEST_CASE("a replica that becomes cold again is a change, a late copy of an "
          "earlier entry is none") {
  // Guards against a replica that loses its cache and is sent the full load,
  // as a higher WarmupLeft was ignored.
  ReplicaRegistry Book({});
  ReplicaRecord Warm = makeRecord();
  Warm.WarmupLeft = Milliseconds(0);
  Book.put(makeRecord(), rev(10));
  Book.put(Warm, rev(11));
  CHECK_FALSE(Book.put(makeRecord(), rev(10)));
  CHECK_FALSE(Book.put(makeRecord(), rev(11)));
  CHECK(Book.entries().at(Id).Record.WarmupLeft == Milliseconds(0));
  CHECK(Book.put(makeRecord(), rev(12)));
  CHECK(Book.entries().at(Id).Record.WarmupLeft == Milliseconds(3'000));
}

TEST_CASE("the followed VM's removals apply while this VM cannot reach the "
          "store") {
  // Guards against a VM that lost the store and then followed another VM, but
  // kept entries of replicas that had left for ever.
  ReplicaRegistry Book = makeBook();
  TimePoint Now = Start + Milliseconds(10'000);
  REQUIRE_FALSE(removeEntry(Book, Now));
  Book.onStoreContact({.Since = Start, .Until = Now}, Now);

  SUBCASE("a single change") {
    ReplicaDelta Delta{.Base = {}, .AsOf = rev(50), .Put = {}, .Removed = {}};
    Delta.Removed.push_back({.Id = Id, .Revision = rev(20)});
    Book.merge(Delta, Now);
  }
  SUBCASE("everything") { listNothing(Book, Now); }
  CHECK(Book.entries().empty());
}

TEST_CASE(
    "DRAIN: an outage ends with the followed VM's answers, not with this VM's "
    "next call") {
  ReplicaRegistry Book = makeBook();
  TimePoint Now = Start + Milliseconds(5'000);
  // For ten seconds the followed VM reports that the store answers it.
  for (int I = 0; I < 10; ++I) {
    answer(Book, Now);
    Now += Milliseconds(1'000);
  }
  answer(Book, Now);
  CHECK(listNothing(Book, Now));
  CHECK(Book.entries().empty());
}

TEST_CASE("a removal is applied at once after an outage too short to expire "
          "entries") {
  ReplicaRegistry Book = makeBook();
  TimePoint Now = Start + Milliseconds(2'300);
  answer(Book, Now);
  CHECK(removeEntry(Book, Now));
}

TEST_CASE("a missing entry stays in use during a second outage") {
  ReplicaRegistry Book = makeBook();
  TimePoint Returned = Start + Milliseconds(5'000);
  answer(Book, Returned);
  REQUIRE_FALSE(removeEntry(Book, Returned));
  TimePoint Again = Returned + Milliseconds(9'000);
  CHECK_FALSE(Book.expire(Again));
  answer(Book, Again);
  answer(Book, Again + Milliseconds(2'000));
  CHECK_FALSE(Book.expire(Again + Milliseconds(2'500)));
  Book.confirm(Again + Milliseconds(2'600));
  CHECK(Book.expire(Again + Milliseconds(2'600)));
}

TEST_CASE("an entry missing from a list stays in use only around an outage") {
  CHECK(rc::check([] {
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
      answer(Book, Now);
      Before = Now;
    }
    bool IsNearOutage = OutageEnd != TimePoint::min() &&
                        Now < OutageEnd + Options.RecoveryGrace;
    RC_ASSERT(listNothing(Book, Now) != IsNearOutage);
    // It is not used after the grace period.
    TimePoint End = Now + Options.RecoveryGrace;
    answer(Book, Now + Milliseconds(2'000));
    Book.confirm(End);
    Book.expire(End);
    RC_ASSERT(Book.entries().empty());
  }));
}

TEST_CASE("a VM that starts during a store outage keeps the entries of the VM "
          "that it follows") {
  ReplicaRegistry Book({});
  Book.merge(ReplicaList{.AsOf = rev(10), .Replicas = {makeKnown(10)}}, Start);
  TimePoint Returned = Start + Milliseconds(500);
  answer(Book, Returned);
  CHECK_FALSE(listNothing(Book, Returned));
  CHECK(Book.entries().contains(Id));
}

TEST_CASE(
    "DRAIN: a VM that was cut off from the store does not revive replicas "
    "that another VM knows to be gone") {
  // Both knew the replica at revision 10, until one was cut off at Start.
  ReplicaRegistry Reader = makeBook();
  ReplicaRegistry CutOff = makeBook();
  for (int After = 500; After <= 8'500; After += 500)
    answer(Reader, Start + Milliseconds(After));
  TimePoint Removed = Start + Milliseconds(8'600);
  answer(Reader, Removed);
  REQUIRE(removeEntry(Reader, Removed));
  Reader.advance(rev(20), Removed);

  TimePoint Back = Start + Milliseconds(9'100);
  answer(CutOff, Back);
  CutOff.merge(ReplicaList{.AsOf = rev(21), .Replicas = {}}, Back);
  REQUIRE(CutOff.entries().contains(Id));
  REQUIRE(CutOff.entries().at(Id).Evidence == ReplicaEvidence::Presumed);

  // The first VM goes back to following the second one, which reads the store.
  TimePoint Now = Back + Milliseconds(200);
  Reader.onStoreContact(*CutOff.contact().latest(), Now);
  Reader.merge(
      ReplicaList{.AsOf = CutOff.asOf(), .Replicas = {CutOff.entries().at(Id)}},
      Now);
  CHECK(Reader.entries().empty());

  // The second VM hears that the store answered the first all the time.
  CutOff.onStoreContact(*Reader.contact().latest(), Now);
  CHECK(CutOff.entries().empty());
}

TEST_CASE("a VM that reads a short list after an outage does not take the "
          "others' replicas away") {
  // The mirror of the case above: after an outage of the store for all VMs, a
  // VM that has just started lists no entry, as all have expired.
  ReplicaRegistry Knowing = makeBook();
  ReplicaRegistry Started{ReplicaRegistryOptions{}};
  TimePoint Returned = Start + Milliseconds(6'000);
  answer(Started, Returned);
  Started.merge(ReplicaList{.AsOf = rev(60), .Replicas = {}}, Returned);

  TimePoint Now = Returned + Milliseconds(100);
  Knowing.onStoreContact(*Started.contact().latest(), Now);
  Knowing.merge(ReplicaList{.AsOf = Started.asOf(), .Replicas = {}}, Now);
  REQUIRE(Knowing.entries().contains(Id));
  CHECK(Knowing.presumed() == 1);

  SUBCASE("the VM that has started takes the presumption over, as one") {
    Started.merge(ReplicaList{.AsOf = Knowing.asOf(),
                              .Replicas = {Knowing.entries().at(Id)}},
                  Now);
    CHECK(Started.presumed() == 1);
  }
  SUBCASE("the replica's entry is back") {
    CHECK_FALSE(Knowing.put(makeRecord(), rev(61)));
    CHECK(Knowing.presumed() == 0);
  }
  SUBCASE("it stays missing") {
    TimePoint End = Returned + Milliseconds(2'600);
    answer(Knowing, Returned + Milliseconds(1'300));
    answer(Knowing, End);
    CHECK(Knowing.expire(End));
    CHECK(Knowing.entries().empty());
  }
}

TEST_CASE("a presumption is refused if the entry was removed before the "
          "outage") {
  ReplicaRegistry Book = makeBook();
  REQUIRE(removeEntry(Book, Start));
  Book.advance(rev(20), Start);
  TimePoint Returned = Start + Milliseconds(6'000);
  answer(Book, Returned);
  REQUIRE(Book.isRecovering(Returned));
  KnownReplica Offered = makeKnown(10);
  Offered.Evidence = ReplicaEvidence::Presumed;
  Book.merge(ReplicaList{.AsOf = rev(20), .Replicas = {Offered}}, Returned);
  CHECK(Book.entries().empty());
  CHECK(Book.takeTransitions().back().What == ReplicaTransition::Kind::Refused);
}

TEST_CASE("another VM's list does not end the use of a replica whose entry may "
          "have come back since") {
  // The store fails again 2.3 s after its recovery, before any VM has read it.
  ReplicaRegistry Book = makeBook();
  TimePoint Returned = Start + Milliseconds(6'000);
  answer(Book, Returned);
  Book.merge(ReplicaList{.AsOf = rev(50), .Replicas = {}}, Returned);
  answer(Book, Returned + Milliseconds(1'200));
  KnownReplica Presumed = Book.entries().at(Id);
  TimePoint Now = Returned + Milliseconds(2'700);
  Book.merge(ReplicaList{.AsOf = rev(50), .Replicas = {Presumed}}, Now);
  Book.expire(Now);
  CHECK(Book.entries().contains(Id));
}

TEST_CASE("an older list or change does not undo a newer one") {
  ReplicaRegistry Book = makeBook();
  REQUIRE(removeEntry(Book, Start));
  Book.advance(rev(20), Start);
  CHECK_FALSE(Book.put(makeRecord(), rev(10)));
  CHECK_FALSE(Book.merge(
      ReplicaList{.AsOf = rev(15), .Replicas = {makeKnown(10)}}, Start));
  CHECK(Book.entries().empty());
  CHECK(Book.put(makeRecord(), rev(25)));
  CHECK_FALSE(removeEntry(Book, Start));
  CHECK_FALSE(Book.merge(ReplicaList{.AsOf = rev(22), .Replicas = {}}, Start));
  CHECK(Book.entries().contains(Id));
}

TEST_CASE("changes do not complete a list that is newer than their base") {
  ReplicaRegistry Book = makeBook();
  Book.advance(rev(40), Start);
  ReplicaDelta Delta{
      .Base = rev(30), .AsOf = rev(50), .Put = {}, .Removed = {}};
  Book.merge(Delta, Start);
  CHECK(Book.asOf() == rev(40));
  Delta.Base = rev(40);
  Book.merge(Delta, Start);
  CHECK(Book.asOf() == rev(50));
}

namespace {

const StoreEra Second(2);

StoreRevision again(std::uint64_t Number) {
  return StoreRevision(Number, Second);
}

/// @return A registry of one replica, whose store names its first era.
ReplicaRegistry makeFirstEra(ReplicaState State = ReplicaState::Serving) {
  ReplicaRegistry Book({});
  for (int Ago = 6'000; Ago >= 0; Ago -= 1'000) {
    TimePoint At = Start - Milliseconds(Ago);
    Book.onStoreContact({.Since = At, .Until = At, .Era = StoreEra(1)}, At);
    Book.confirm(At);
  }
  ReplicaRecord Record = makeRecord();
  Record.State = State;
  Book.put(Record, StoreRevision(90, StoreEra(1)));
  Book.advance(StoreRevision(100, StoreEra(1)), Start);
  return Book;
}

/// @brief The store answers in its second era.
void answerAgain(ReplicaRegistry &Book, TimePoint At) {
  Book.onStoreContact({.Since = At, .Until = At, .Era = Second}, At);
  Book.confirm(At);
}

/// @return The list of a copy that holds the replica as serving.
ReplicaList makeCopy() {
  return {.AsOf = again(50),
          .Replicas = {{.Record = makeRecord(), .Revision = again(10)}}};
}

ReplicaState stateOf(const ReplicaRegistry &Book) {
  return Book.entries().at(Id).Record.State;
}

} // namespace

TEST_CASE("CONFIG: entries of a later era count, although the store gives "
          "lower revisions out again") {
  ReplicaRegistry Book = makeFirstEra();
  TimePoint Now = Start + Milliseconds(1'000);
  answerAgain(Book, Now);
  Book.merge(makeCopy(), Now);
  ReplicaRecord Added = makeRecord();
  Added.Id = ServerName("i-2");
  CHECK(Book.put(Added, again(51)));
  ReplicaRecord Leaving = makeRecord();
  Leaving.State = ReplicaState::Leaving;
  CHECK(Book.put(Leaving, again(52)));
  CHECK(Book.asOf() == again(50));
  // What a VM says that has not noticed yet.
  Book.merge(
      ReplicaList{.AsOf = StoreRevision(100, StoreEra(1)), .Replicas = {}},
      Now);
  CHECK(Book.entries().size() == 2);
  CHECK(stateOf(Book) == ReplicaState::Leaving);
}

TEST_CASE("CONFIG: a replica that the copy lacks stays in use until it writes "
          "its entry again") {
  ReplicaRegistry Book = makeFirstEra();
  TimePoint Now = Start + Milliseconds(1'000);
  answerAgain(Book, Now);
  CHECK(Book.isRestoring(Now));
  CHECK_FALSE(Book.merge(ReplicaList{.AsOf = again(50), .Replicas = {}}, Now));
  REQUIRE(Book.presumed() == 1);
  SUBCASE("it does") {
    Book.put(makeRecord(), again(60));
    CHECK(Book.presumed() == 0);
  }
  SUBCASE("it does not") {
    answerAgain(Book, Now + Milliseconds(1'300));
    Now += Milliseconds(2'600);
    answerAgain(Book, Now);
    Book.expire(Now);
    CHECK(Book.entries().empty());
    CHECK_FALSE(Book.isRestoring(Now));
  }
}

TEST_CASE("DRAIN: a replica that was leaving, or gone, is not used because the "
          "copy holds it as serving") {
  ReplicaRegistry Book = makeFirstEra(ReplicaState::Leaving);
  SUBCASE("it was leaving") {}
  SUBCASE("it was gone") {
    Book.remove({.Id = Id, .Revision = StoreRevision(95, StoreEra(1))}, Start);
    REQUIRE(Book.entries().empty());
  }
  TimePoint Back = Start + Milliseconds(1'000);
  answerAgain(Book, Back);
  Book.merge(makeCopy(), Back);
  CHECK(stateOf(Book) == ReplicaState::Leaving);
  Book.merge(makeCopy(), Back + Milliseconds(500));
  CHECK(stateOf(Book) == ReplicaState::Leaving);

  SUBCASE("it writes that it leaves") {
    ReplicaRecord Leaving = makeRecord();
    Leaving.State = ReplicaState::Leaving;
    Book.put(Leaving, again(60));
    CHECK_FALSE(Book.entries().at(Id).IsHeldLeaving);
  }
  SUBCASE("it writes that it serves") {
    CHECK(Book.put(makeRecord(), again(60)));
    CHECK(stateOf(Book) == ReplicaState::Serving);
  }
  SUBCASE("the copy's entry did not expire") {
    TimePoint Now = Back + Milliseconds(4'200);
    answerAgain(Book, Back + Milliseconds(2'000));
    answerAgain(Book, Now);
    Book.expire(Now);
    CHECK(stateOf(Book) == ReplicaState::Serving);
  }
}

TEST_CASE(
    "DRAIN: a replica that the copy brought back, and whose entry has gone "
    "again, is not used in the next outage") {
  // Guards against a hold that ends although the entry has expired.
  ReplicaRegistry Book = makeFirstEra(ReplicaState::Leaving);
  TimePoint Back = Start + Milliseconds(1'000);
  answerAgain(Book, Back);
  Book.merge(makeCopy(), Back);
  // The VM is cut off from the store for a while.
  TimePoint Again = Back + Milliseconds(4'200);
  answerAgain(Book, Again);
  Book.remove({.Id = Id, .Revision = again(60)}, Again);
  REQUIRE(Book.presumed() == 1);
  // The store goes down. Another VM tells that it had answered until then.
  TimePoint Now = Again + Milliseconds(3'000);
  Book.onStoreContact({.Since = Back, .Until = Again, .Era = Second}, Now);
  CHECK((Book.entries().empty() || stateOf(Book) == ReplicaState::Leaving));
}
