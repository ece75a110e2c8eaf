#include "coordination/queue/ReplicaSetQueue.h"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

using namespace carawaypond;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const ServerName First("s-1");
const ServerName Second("s-2");

/// A queue for two replicas with one slot each.
struct Fixture {
  ServerSlots Slots;
  ReplicaScores Scores;
  IdGenerator<AttemptId> Attempts;
  ExtraLoadBudget Budget{{.Ratio = 0.05, .Burst = 2}};
  LatencyTracker Latencies;
  ReplicaVersionTracker Versions;
  ReplicaSetQueue Queue{
      {.Replicas = {First, Second},
       .Classes = {{.Name = ClassName("interactive"), .Share = 1}}},
      {.Slots = Slots,
       .Scores = Scores,
       .Attempts = Attempts,
       .Budget = Budget,
       .Latencies = Latencies,
       .Versions = Versions}};

  Fixture() {
    Slots.setSlots(First, 1);
    Slots.setSlots(Second, 1);
  }

  static Subrequest request(std::uint64_t Id, bool Repeatable = true) {
    return {.Id = SubrequestId(Id),
            .Service = ServiceName("claims"),
            .Class = ClassName("interactive"),
            .Shard = ShardId(0),
            .Replica = std::nullopt,
            .Version = IndexVersion(7),
            .Layout = 1,
            .Deadline = Start + Milliseconds(100),
            .Repeatable = Repeatable,
            .Request = nullptr};
  }

  static SubAnswered answer(std::uint64_t Version = 7) {
    return {.Version = IndexVersion(Version), .Layout = 1, .Payload = nullptr};
  }
};

template <typename T> std::vector<T> only(const QueueActions &Actions) {
  std::vector<T> Found;
  for (const QueueAction &Action : Actions)
    if (const T *Each = std::get_if<T>(&Action))
      Found.push_back(*Each);
  return Found;
}

template <typename T> bool completesAs(const QueueActions &Actions) {
  auto Completed = only<CompleteSubrequest>(Actions);
  return Completed.size() == 1 &&
         std::holds_alternative<T>(Completed.front().Outcome);
}

} // namespace

TEST_CASE_FIXTURE(Fixture,
                  "no more subrequests are sent than there are slots") {
  std::size_t Sent = 0;
  for (std::uint64_t I = 0; I < 5; ++I)
    Sent += only<SendAttempt>(Queue.enqueue(request(I), Start)).size();
  CHECK(Sent == 2);
  CHECK(Queue.waiting() == 3);
}

TEST_CASE_FIXTURE(Fixture, "a straggler is hedged on the other replica, and "
                           "the loser is cancelled") {
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1), Start));
  TimePoint HedgeAt = *Queue.nextWake();
  auto Hedge = only<SendAttempt>(Queue.tick(HedgeAt));
  REQUIRE(Hedge.size() == 1);
  CHECK(Hedge[0].Server != Sent[0].Server);
  QueueActions Won =
      Queue.onAnswered(Hedge[0].Attempt, answer(), HedgeAt + Milliseconds(1));
  CHECK(completesAs<SubAnswered>(Won));
  REQUIRE(only<CancelAttempt>(Won).size() == 1);
  CHECK(only<CancelAttempt>(Won)[0].Attempt == Sent[0].Attempt);
  CHECK(Slots.inUse(Sent[0].Server) == 1);
  CHECK(Queue.onAnswered(Sent[0].Attempt, answer(), HedgeAt).empty());
  CHECK(Slots.inUse(Sent[0].Server) == 0);
}

TEST_CASE_FIXTURE(Fixture, "a subrequest that is not repeatable is neither "
                           "hedged nor sent again once it may have run") {
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1, false), Start));
  CHECK(*Queue.nextWake() == Start + Milliseconds(100));
  CHECK(completesAs<SubInDoubt>(Queue.onLost(Sent[0].Attempt, Start)));
}

TEST_CASE_FIXTURE(Fixture, "a subrequest that is not repeatable is sent again "
                           "after a refusal that says that it did not run") {
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1, false), Start));
  auto Again = only<SendAttempt>(Queue.onRefused(
      Sent[0].Attempt, {.Reason = SubReason::Shed, .Ran = false, .Served = {}},
      Start));
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Server != Sent[0].Server);
  CHECK(Budget.extras() == 1);
}

TEST_CASE_FIXTURE(Fixture, "without budget a refusal is final") {
  while (Budget.trySpend()) {
  }
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1), Start));
  CHECK(completesAs<SubNotRun>(Queue.onRefused(
      Sent[0].Attempt, {.Reason = SubReason::Shed, .Ran = false, .Served = {}},
      Start)));
}

TEST_CASE_FIXTURE(Fixture, "a subrequest that expires in the queue is reported "
                           "as not run") {
  for (std::uint64_t I = 0; I < 3; ++I)
    (void)Queue.enqueue(request(I), Start);
  auto Ended = only<CompleteSubrequest>(Queue.tick(Start + Milliseconds(100)));
  REQUIRE(Ended.size() == 3);
  std::size_t NotRun = 0;
  for (const CompleteSubrequest &Each : Ended)
    NotRun += std::holds_alternative<SubNotRun>(Each.Outcome) ? 1 : 0;
  CHECK(NotRun == 1);
}

TEST_CASE_FIXTURE(Fixture, "a leaving server gets no new work") {
  Slots.setState(First, ServerState::Leaving);
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1), Start));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].Server == Second);
  (void)Queue.enqueue(request(2), Start);
  Slots.setState(Second, ServerState::Leaving);
  QueueActions Out = Queue.onServersChanged(Start);
  CHECK(only<SendAttempt>(Out).empty());
  CHECK(completesAs<SubNotRun>(Out));
}

TEST_CASE_FIXTURE(Fixture, "a version that no replica serves is reported with "
                           "what they serve") {
  ServerRefusal Gone{
      .Reason = SubReason::VersionGone,
      .Ran = false,
      .Served = {
          {.Layout = 1, .Oldest = IndexVersion(8), .Newest = IndexVersion(9)}}};
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1), Start));
  auto Again = only<SendAttempt>(Queue.onRefused(Sent[0].Attempt, Gone, Start));
  REQUIRE(Again.size() == 1);
  auto Ended =
      only<CompleteSubrequest>(Queue.onRefused(Again[0].Attempt, Gone, Start));
  REQUIRE(Ended.size() == 1);
  CHECK(std::get<SubVersionGone>(Ended[0].Outcome).Served.size() == 2);
  CHECK(Versions.serves(First, ShardId(0), 1, IndexVersion(7)) == Serves::No);
}

TEST_CASE_FIXTURE(Fixture, "an answer for another version is dropped") {
  auto Sent = only<SendAttempt>(Queue.enqueue(request(1, false), Start));
  CHECK(completesAs<SubInDoubt>(
      Queue.onAnswered(Sent[0].Attempt, answer(8), Start)));
  CHECK(Queue.counters().WrongVersions == 1);
}

TEST_CASE_FIXTURE(Fixture, "a subrequest waits for the replica that serves its "
                           "version rather than use one that does not") {
  VersionRange Old{
      .Layout = 1, .Oldest = IndexVersion(1), .Newest = IndexVersion(6)};
  VersionRange New{
      .Layout = 1, .Oldest = IndexVersion(1), .Newest = IndexVersion(7)};
  Versions.noteAnswer(First, ShardId(0), Old, Start);
  Versions.noteAnswer(Second, ShardId(0), New, Start);
  CHECK(only<SendAttempt>(Queue.enqueue(request(1), Start))[0].Server ==
        Second);
  CHECK(only<SendAttempt>(Queue.enqueue(request(2), Start)).empty());
}
