#include "coordination/query/QueryRun.h"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

using namespace carawaypond;

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr std::uint32_t Shards = 3;

IndexObject makeIndex() {
  IndexObject Index;
  Index.Name = "claims";
  IndexLayout Layout{.Layout = 1, .FromVersion = IndexVersion(0), .Shards = {}};
  for (std::uint32_t I = 0; I < Shards; ++I) {
    ServerName Server("s-" + std::to_string(I));
    Index.Servers.push_back({.Name = Server,
                             .Address = "",
                             .Centre = DataCentre("umea-a"),
                             .Slots = 2,
                             .Connections = 25,
                             .Leaving = false});
    Layout.Shards.push_back({.Shard = ShardId(I), .Replicas = {Server}});
  }
  Index.Layouts.push_back(Layout);
  return Index;
}

/// Three shards with one replica each, at version 5, and three VMs.
struct Fixture {
  SnapshotPinner Pinner{makeIndex()};
  std::shared_ptr<const RouteTable> Routes =
      std::make_shared<const RouteTable>(RouteTableOptions{
          .Unit = OwnerOfShard{},
          .Self = VmName("vm-1"),
          .LiveVms = {VmName("vm-1"), VmName("vm-2"), VmName("vm-3")},
          .Fallbacks = 2});
  ExtraLoadBudget Budget{{.Ratio = 0.05, .Burst = 10}};
  IdGenerator<SubrequestId> Ids;

  Fixture() { serveAt(5, 5); }

  void serveAt(std::uint64_t Oldest, std::uint64_t Newest) {
    for (std::uint32_t I = 0; I < Shards; ++I)
      Pinner.board().noteRefusal(ServerName("s-" + std::to_string(I)),
                                 ShardId(I),
                                 {.Layout = 1,
                                  .Oldest = IndexVersion(Oldest),
                                  .Newest = IndexVersion(Newest)},
                                 Start);
  }

  QueryRun makeRun(bool Repeatable = true) {
    return QueryRun(
        {.Service = ServiceName("claims"),
         .Class = ClassName("interactive"),
         .Deadline = Start + Milliseconds(110),
         .Repeatable = Repeatable,
         .Request = nullptr},
        {.Pinner = Pinner, .Routes = Routes, .Budget = Budget, .Ids = Ids},
        {.OwnerTimeout = Milliseconds(40), .MaxRestarts = 2});
  }
};

std::vector<SendSubrequest> sendsOf(const QueryActions &Actions) {
  std::vector<SendSubrequest> Found;
  for (const QueryAction &Action : Actions)
    if (const auto *Send = std::get_if<SendSubrequest>(&Action))
      Found.push_back(*Send);
  return Found;
}

template <typename T> const T *resultOf(const QueryActions &Actions) {
  if (Actions.empty())
    return nullptr;
  const auto *Finish = std::get_if<FinishQuery>(&Actions.back());
  return Finish == nullptr ? nullptr : std::get_if<T>(&Finish->Result);
}

SubrequestEnded ended(const SendSubrequest &Send, SubOutcome Outcome) {
  return {.Id = Send.Request.Id,
          .Shard = Send.Request.Shard,
          .Outcome = std::move(Outcome)};
}

SubrequestEnded answered(const SendSubrequest &Send) {
  return ended(Send, SubAnswered{.Version = Send.Request.Version,
                                 .Layout = Send.Request.Layout,
                                 .Payload = nullptr});
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a query is complete once every shard answered") {
  QueryRun Run = makeRun();
  auto Sends = sendsOf(Run.start(Start));
  REQUIRE(Sends.size() == Shards);
  CHECK(Run.onEnded(answered(Sends[0]), Start).empty());
  CHECK(Run.onEnded(answered(Sends[0]), Start).empty());
  CHECK(Run.onEnded(answered(Sends[1]), Start).empty());
  QueryActions Last = Run.onEnded(answered(Sends[2]), Start);
  REQUIRE(resultOf<QueryComplete>(Last) != nullptr);
  CHECK(resultOf<QueryComplete>(Last)->Answers.size() == Shards);
  CHECK(Run.counters().LateAnswers == 1);
}

TEST_CASE_FIXTURE(Fixture, "a query at its deadline is partial, with the "
                           "missing shards") {
  QueryRun Run = makeRun();
  auto Sends = sendsOf(Run.start(Start));
  (void)Run.onEnded(answered(Sends[1]), Start);
  QueryActions End = Run.tick(Start + Milliseconds(110));
  const auto *Partial = resultOf<QueryPartial>(End);
  REQUIRE(Partial != nullptr);
  CHECK(Partial->total() == Shards);
  CHECK(Partial->Missing[0].Reason == SubReason::Timeout);
}

TEST_CASE_FIXTURE(Fixture,
                  "a query without answers is unknown, and one that all "
                  "owners refused is not run") {
  QueryRun Silent = makeRun();
  (void)Silent.start(Start);
  CHECK(resultOf<QueryUnknown>(Silent.tick(Start + Milliseconds(110))));

  QueryRun Refused = makeRun();
  QueryActions Last;
  for (const SendSubrequest &Send : sendsOf(Refused.start(Start)))
    Last = Refused.onEnded(
        ended(Send, SubNotRun{.Reason = SubReason::Overloaded}), Start);
  REQUIRE(resultOf<QueryNotRun>(Last) != nullptr);
  CHECK(resultOf<QueryNotRun>(Last)->Reason == SubReason::Overloaded);
}

TEST_CASE_FIXTURE(Fixture, "a query that is not repeatable is unknown if one "
                           "subrequest may have run without an answer") {
  QueryRun Run = makeRun(false);
  auto Sends = sendsOf(Run.start(Start));
  (void)Run.onEnded(answered(Sends[0]), Start);
  (void)Run.onEnded(answered(Sends[1]), Start);
  CHECK(resultOf<QueryUnknown>(Run.onEnded(
      ended(Sends[2], SubInDoubt{.Reason = SubReason::Failed}), Start)));
}

TEST_CASE_FIXTURE(Fixture, "a repeatable subrequest is sent to the next VM if "
                           "its owner does not answer") {
  QueryRun Run = makeRun();
  auto Sends = sendsOf(Run.start(Start));
  auto Again = sendsOf(Run.tick(*Run.nextWake()));
  REQUIRE(Again.size() == Shards);
  CHECK(Again[0].Owner != Sends[0].Owner);
  CHECK(Budget.extras() == Shards);

  QueryRun Once = makeRun(false);
  (void)Once.start(Start);
  CHECK(*Once.nextWake() == Start + Milliseconds(110));
}

TEST_CASE_FIXTURE(Fixture, "a subrequest that was never sent is rerouted, also "
                           "if it is not repeatable") {
  QueryRun Run = makeRun(false);
  auto Sends = sendsOf(Run.start(Start));
  auto Again = sendsOf(Run.onOwnerLost(Sends[0].Request.Id, false, Start));
  REQUIRE(Again.size() == 1);
  CHECK(sendsOf(Run.onOwnerLost(Again[0].Request.Id, true, Start)).empty());
}

TEST_CASE_FIXTURE(Fixture, "a version that is gone restarts the query on "
                           "another one, and old answers are dropped") {
  QueryRun Run = makeRun();
  auto Old = sendsOf(Run.start(Start));
  (void)Run.onEnded(answered(Old[0]), Start);
  serveAt(6, 6);
  auto New = sendsOf(Run.onEnded(ended(Old[1], SubVersionGone{}), Start));
  REQUIRE(New.size() == Shards);
  CHECK(New[0].Request.Version == IndexVersion(6));
  CHECK(Run.onEnded(answered(Old[2]), Start).empty());
  QueryActions Last;
  for (const SendSubrequest &Send : New)
    Last = Run.onEnded(answered(Send), Start);
  REQUIRE(resultOf<QueryComplete>(Last) != nullptr);
  CHECK(resultOf<QueryComplete>(Last)->Version == IndexVersion(6));
}

TEST_CASE_FIXTURE(Fixture, "a query that is not repeatable restarts only if no "
                           "subrequest can have run") {
  QueryRun Run = makeRun(false);
  auto Old = sendsOf(Run.start(Start));
  serveAt(6, 6);
  CHECK(Run.onEnded(ended(Old[0], SubVersionGone{}), Start).empty());
  CHECK(Run.onEnded(ended(Old[1], SubVersionGone{}), Start).empty());
  QueryActions Last = Run.onEnded(ended(Old[2], SubVersionGone{}), Start);
  CHECK(sendsOf(Last).size() == Shards);

  QueryRun Ran = makeRun(false);
  Old = sendsOf(Ran.start(Start));
  serveAt(7, 7);
  (void)Ran.onEnded(answered(Old[0]), Start);
  (void)Ran.onEnded(ended(Old[1], SubVersionGone{}), Start);
  CHECK(resultOf<QueryPartial>(
      Ran.onEnded(ended(Old[2], SubVersionGone{}), Start)));
}

TEST_CASE_FIXTURE(Fixture, "a shard without a replica is reported as missing") {
  Pinner.board().setState(ServerName("s-1"), ServerState::Down);
  QueryRun Run = makeRun();
  auto Sends = sendsOf(Run.start(Start));
  REQUIRE(Sends.size() == 2);
  (void)Run.onEnded(answered(Sends[0]), Start);
  QueryActions Last = Run.onEnded(answered(Sends[1]), Start);
  REQUIRE(resultOf<QueryPartial>(Last) != nullptr);
  CHECK(resultOf<QueryPartial>(Last)->Missing[0].Reason ==
        SubReason::NoReplica);
}

TEST_CASE_FIXTURE(Fixture, "a query without a snapshot is not run") {
  SnapshotPinner Empty{makeIndex()};
  QueryRun Run(
      {.Service = ServiceName("claims"),
       .Class = ClassName("interactive"),
       .Deadline = Start + Milliseconds(110),
       .Repeatable = true,
       .Request = nullptr},
      {.Pinner = Empty, .Routes = Routes, .Budget = Budget, .Ids = Ids}, {});
  CHECK(resultOf<QueryNotRun>(Run.start(Start)));
}
