#include "coordination/placement/ReplicaTracker.h"
#include "coordination/placement/ServiceFleet.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Normal = Milliseconds(10);
const PlacementOptions Options;

ReplicaRecord makeRecord(const std::string &Id) {
  ReplicaRecord Record;
  Record.Id = ServerName(Id);
  Record.Slots = 2;
  return Record;
}

/// @brief Sends one request that ends after @p Took.
void exchange(ReplicaTracker &Gauge, Duration Took, TimePoint Now,
              AttemptResult How = AttemptResult::Served) {
  static std::uint64_t Next = 1;
  SubrequestId Id(Next++);
  Gauge.onSent(Id, Normal, Now);
  Gauge.onEnded(Id, How, Options, Now + Took);
}

} // namespace

TEST_CASE(
    "a replica that does not answer for long is stalled until it answers") {
  ReplicaTracker Gauge(makeRecord("a"), Start);
  Gauge.onSent(SubrequestId(1), Normal, Start);
  CHECK_FALSE(Gauge.isStalled(Options, Start + Milliseconds(15)));
  CHECK(Gauge.isStalled(Options, Start + Milliseconds(40)));
  Gauge.onSent(SubrequestId(2), Normal, Start + Milliseconds(20));
  Gauge.onEnded(SubrequestId(2), AttemptResult::Served, Options,
                Start + Milliseconds(41));
  CHECK_FALSE(Gauge.isStalled(Options, Start + Milliseconds(45)));
}

TEST_CASE("a replica 12 times slower costs more after three answers, and less "
          "once it is no longer slow") {
  ReplicaTracker Slow(makeRecord("a"), Start);
  ReplicaTracker Well(makeRecord("b"), Start);
  for (int I = 0; I < 3; ++I) {
    exchange(Slow, Normal * 12, Start + Milliseconds(130 * I));
    exchange(Well, Normal, Start + Milliseconds(130 * I));
  }
  TimePoint Now = Start + Milliseconds(400);
  CHECK(Slow.cost(Options, Now) > 3 * Well.cost(Options, Now));
  TimePoint Later = Now + std::chrono::seconds(6);
  CHECK(Slow.cost(Options, Later) < 1.2 * Well.cost(Options, Later));
}

TEST_CASE(
    "refusals, failures, warm-up and another data centre raise the cost") {
  ReplicaTracker Plain(makeRecord("a"), Start);
  ReplicaTracker Refusing(makeRecord("b"), Start);
  exchange(Refusing, Milliseconds(1), Start, AttemptResult::NotRun);
  ReplicaTracker Failing(makeRecord("c"), Start);
  exchange(Failing, Milliseconds(1), Start, AttemptResult::ServerFailed);
  ReplicaRecord Cold = makeRecord("d");
  Cold.WarmupLeft = Milliseconds(3'000);
  ReplicaTracker Warming(Cold, Start);
  ReplicaRecord Away = makeRecord("e");
  Away.Centre = DataCentre("elsewhere");
  ReplicaTracker Far(Away, Start);
  TimePoint Now = Start + Milliseconds(10);
  for (const ReplicaTracker *Each : {&Refusing, &Failing, &Warming, &Far})
    CHECK(Each->cost(Options, Now) > Plain.cost(Options, Now));
}

TEST_CASE("equal replicas share the requests; a busy one gets fewer") {
  ServiceFleet Service(Options);
  Service.put(makeRecord("a"), Start);
  Service.put(makeRecord("b"), Start);
  int First = 0;
  for (int I = 0; I < 100; ++I) {
    ReplicaTracker *Chosen = Service.cheapest({}, Options, Start);
    First += Chosen->record().Id == ServerName("a") ? 1 : 0;
  }
  CHECK(First == 50);
  Service.find(ServerName("a"))->onSent(SubrequestId(9), Normal, Start);
  for (int I = 0; I < 4; ++I)
    CHECK(Service.cheapest({}, Options, Start)->record().Id == ServerName("b"));
}

TEST_CASE(
    "a replica whose address belongs to another one gets no requests until "
    "its address changes") {
  // Guards against misdirected requests: during a store outage the addresses of
  // crashed replicas were reassigned to another service, which counted 180
  // misdirected arrivals.
  ServiceFleet Service(Options);
  Service.put(makeRecord("a"), Start);
  ReplicaTracker &Gauge = *Service.find(ServerName("a"));
  exchange(Gauge, Milliseconds(1), Start, AttemptResult::Misplaced);
  TimePoint Later = Start + Milliseconds(4'000);
  CHECK(Service.cheapest({}, Options, Later) == nullptr);
  ReplicaRecord Moved = makeRecord("a");
  Moved.Address = "10.0.0.9:80";
  Service.put(Moved, Later);
  CHECK(Service.cheapest({}, Options, Later) != nullptr);
}

TEST_CASE(
    "a replica's state follows its answers, and recovers after good ones") {
  ReplicaTracker Gauge(makeRecord("a"), Start);
  CHECK(Gauge.verdict(Options, Start) == ReplicaHealth::Well);
  for (int I = 0; I < 4; ++I)
    exchange(Gauge, Normal * 12, Start);
  TimePoint Now = Start + Milliseconds(120);
  CHECK(Gauge.verdict(Options, Now) == ReplicaHealth::Slow);
  for (int I = 0; I < 4; ++I)
    exchange(Gauge, Normal, Now, AttemptResult::ServerFailed);
  CHECK(Gauge.verdict(Options, Now) == ReplicaHealth::Failing);
  for (int I = 0; I < 20; ++I)
    exchange(Gauge, Normal, Now);
  CHECK(Gauge.verdict(Options, Now) == ReplicaHealth::Well);
}

TEST_CASE("the expected wait grows with this VM's outstanding requests") {
  ReplicaTracker Gauge(makeRecord("a"), Start);
  CHECK(Gauge.expectedWait(Normal, Options, Start) == Duration(0));
  Gauge.onSent(SubrequestId(1), Normal, Start);
  CHECK(Gauge.expectedWait(Normal, Options, Start) == Duration(0));
  for (std::uint64_t I = 2; I <= 5; ++I)
    Gauge.onSent(SubrequestId(I), Normal, Start);
  CHECK(Gauge.expectedWait(Normal, Options, Start) == Normal * 2);
}

TEST_CASE("a warm-up ends although the same record is received repeatedly") {
  ReplicaRecord Record = makeRecord("a");
  Record.WarmupLeft = Milliseconds(3'000);
  ReplicaTracker Gauge(Record, Start);
  double Warming = Gauge.cost(Options, Start);
  for (int I = 1; I <= 8; ++I)
    Gauge.update(Record, Start + I * Milliseconds(500));
  CHECK(Gauge.cost(Options, Start + Milliseconds(4'000)) < Warming);
}
