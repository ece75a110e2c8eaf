#include "coordination/queue/OwnerQueues.h"

#include "coordination/queue/ClassScheduler.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <variant>
#include <vector>

using namespace carawaypond;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const ServiceName Service("claims");
const std::vector<ServerName> Servers = {ServerName("s-1"), ServerName("s-2")};

/// Two backend servers with two slots each that hold every shard.
struct Fixture {
  ReplicaVersionTracker Versions;
  OwnerQueues Queues;
  std::map<AttemptId, ServerName> Running;
  std::map<SubrequestId, int> Completed;

  Fixture() {
    Queues.configure(
        Service,
        {.Classes = {{.Name = ClassName("interactive"), .Share = 1}},
         .ExtraLoad = {.Ratio = 0.05, .Burst = 5},
         .HedgeQuantile = 0.95},
        Versions);
    for (const ServerName &Server : Servers)
      Queues.setSlots(Server, 2);
  }

  static Subrequest request(std::uint64_t Id, std::uint32_t Shard) {
    return {.Id = SubrequestId(Id),
            .Service = Service,
            .Class = ClassName("interactive"),
            .Shard = ShardId(Shard),
            .Replica = std::nullopt,
            .Version = IndexVersion(7),
            .Layout = 1,
            .Deadline = Start + Milliseconds(100),
            .Repeatable = true,
            .Request = nullptr};
  }

  void note(const QueueActions &Actions) {
    for (const QueueAction &Action : Actions) {
      if (const auto *Send = std::get_if<SendAttempt>(&Action))
        Running.emplace(Send->Attempt, Send->Server);
      if (const auto *Complete = std::get_if<CompleteSubrequest>(&Action))
        ++Completed[Complete->Id];
    }
  }

  AttemptId takeRunning(std::size_t Pick) {
    auto It = Running.begin();
    std::advance(It, Pick % Running.size());
    AttemptId Id = It->first;
    Running.erase(It);
    return Id;
  }
};

SubAnswered answer() {
  return {.Version = IndexVersion(7), .Layout = 1, .Payload = nullptr};
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a service is removed once its queues are idle") {
  note(Queues.enqueue(request(1, 0), Servers, Start));
  CHECK_FALSE(Queues.remove(Service));
  note(Queues.onAnswered(takeRunning(0), answer(), Start));
  std::uint64_t Sent = Queues.totals().Sends;
  CHECK(Queues.remove(Service));
  CHECK(Queues.counters().Sends == 0);
  CHECK(Queues.totals().Sends == Sent);
  note(Queues.enqueue(request(2, 0), Servers, Start));
  CHECK(Running.empty());
  CHECK(Completed[SubrequestId(2)] == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "a freed slot is offered to the queues of other shards") {
  for (std::uint64_t I = 0; I < 5; ++I)
    note(Queues.enqueue(request(I, static_cast<std::uint32_t>(I)), Servers,
                        Start));
  REQUIRE(Running.size() == 4);
  note(Queues.onAnswered(takeRunning(0), answer(), Start));
  CHECK(Running.size() == 4);
  CHECK(Completed.size() == 1);
}

TEST_CASE("each subrequest completes once, and no server gets more than its "
          "slots or anything new once it leaves") {
  CHECK(rc::check([](const std::vector<std::uint16_t> &Events) {
    Fixture F;
    TimePoint Now = Start;
    std::uint64_t Enqueued = 0;
    for (std::uint16_t Event : Events) {
      std::size_t Pick = Event / 8;
      bool IsLeaving =
          F.Queues.slots().stateOf(Servers[0]) == ServerState::Leaving;
      std::set<AttemptId> Before;
      for (const auto &[Id, Server] : F.Running)
        Before.insert(Id);
      switch (Event % 8) {
      case 0:
      case 1:
      case 2:
        F.note(F.Queues.enqueue(Fixture::request(Enqueued++, Pick % 4), Servers,
                                Now));
        break;
      case 3:
        if (!F.Running.empty())
          F.note(F.Queues.onAnswered(F.takeRunning(Pick), answer(), Now));
        break;
      case 4:
        if (!F.Running.empty())
          F.note(F.Queues.onLost(F.takeRunning(Pick), Now));
        break;
      case 5:
        if (!F.Running.empty())
          F.note(F.Queues.onRefused(
              F.takeRunning(Pick),
              {.Reason = SubReason::Shed, .Ran = false, .Served = {}}, Now));
        break;
      case 6:
        Now += Milliseconds(Pick % 30);
        F.note(F.Queues.tick(Now));
        break;
      default:
        F.note(F.Queues.setState(
            Servers[0], Pick % 2 == 0 ? ServerState::Leaving : ServerState::Up,
            Now));
      }
      bool StillLeaving = IsLeaving && F.Queues.slots().stateOf(Servers[0]) ==
                                           ServerState::Leaving;
      for (const auto &[Id, Server] : F.Running)
        RC_ASSERT(!StillLeaving || Before.contains(Id) || Server != Servers[0]);
      RC_ASSERT(F.Queues.slots().inUse(Servers[0]) <= 2U);
      RC_ASSERT(F.Queues.slots().inUse(Servers[1]) <= 2U);
    }
    F.note(F.Queues.tick(Start + std::chrono::hours(1)));
    RC_ASSERT(F.Completed.size() == Enqueued);
    for (const auto &[Id, Times] : F.Completed)
      RC_ASSERT(Times == 1);
  }));
}

TEST_CASE_FIXTURE(Fixture, "queues of old layouts are dropped when idle") {
  note(Queues.enqueue(request(1, 0), Servers, Start));
  Queues.dropLayoutsBelow(Service, 2);
  note(Queues.onAnswered(takeRunning(0), answer(), Start));
  CHECK(Completed.size() == 1);
  Queues.dropLayoutsBelow(Service, 2);
  CHECK(!Queues.nextWake());
  CHECK(Queues.counters().Sends == 0);
}

TEST_CASE("a scheduler follows a change of shares") {
  const ClassName Desk("desk");
  const ClassName Sweep("sweep");
  ClassScheduler Scheduler(
      {{.Name = Desk, .Share = 0.01}, {.Name = Sweep, .Share = 1}});
  Scheduler.setShares(
      {{.Name = Desk, .Share = 1}, {.Name = Sweep, .Share = 0.01}});
  // The deadlines of the sweep class are earlier, but it exceeds its share
  // soon.
  for (std::uint64_t Id = 0; Id < 40; ++Id) {
    bool IsDesk = Id % 2 == 0;
    Scheduler.push(IsDesk ? Desk : Sweep,
                   Start + (IsDesk ? Milliseconds(200) : Milliseconds(100)),
                   SubrequestId(Id));
  }
  int DeskFirst = 0;
  for (int I = 0; I < 20; ++I) {
    auto Popped = Scheduler.popFirst([](SubrequestId) { return true; });
    REQUIRE(Popped);
    DeskFirst += Popped->value() % 2 == 0 ? 1 : 0;
  }
  CHECK(DeskFirst >= 15);
}
