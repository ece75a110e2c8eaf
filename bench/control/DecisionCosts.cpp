#include "DecisionCosts.h"

#include "CpuTimer.h"
#include "FleetContent.h"

#include "backend/search/SearchCodec.h"
#include "coordination/query/QueryRun.h"
#include "coordination/queue/OwnerQueues.h"

#include <cstddef>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace carawaypond::bench {

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::size_t FanOuts[] = {20, 60, 240, 960};
constexpr std::size_t SubrequestsPerRun = 96'000;
constexpr std::size_t VmsOfOneCentre = 79;
constexpr std::size_t ReplicasPerShard = 2;

/// One service whose index has @p FanOut shards; every replica is reported as
/// serving.
struct Service {
  explicit Service(std::size_t FanOut)
      : Pinner(makeIndex(0, FanOut * ReplicasPerShard)) {
    for (const auto &Row : makeVersions(0, FanOut * ReplicasPerShard, 1))
      Pinner.board().noteStatus(Row.Replica, Start);
    RouteTableOptions Options;
    for (std::size_t I = 0; I < VmsOfOneCentre; ++I)
      Options.LiveVms.push_back(makeVm(0, I).Name);
    Options.Self = Options.LiveVms.front();
    Routes = std::make_shared<const RouteTable>(std::move(Options));
  }

  SnapshotPinner Pinner;
  std::shared_ptr<const RouteTable> Routes;
  ExtraLoadBudget Budget{ExtraLoadOptions{}};
  IdGenerator<SubrequestId> Ids;
  ServiceName Name = makeService(0, 1).Content.Name;
  std::shared_ptr<const std::string> Records =
      std::make_shared<const std::string>(R"({"id":"C-1"})");
};

template <typename Run>
void report(std::ostream &Out, const char *Part, std::size_t FanOut,
            Run RunQuery) {
  std::size_t Queries = SubrequestsPerRun / FanOut;
  CpuTimer Timer;
  for (std::size_t I = 0; I < Queries; ++I)
    RunQuery();
  double PerQuery = Timer.microseconds() / static_cast<double>(Queries);
  Out << R"({"measure": "decision", "part": ")" << Part << R"(", "fan_out": )"
      << FanOut << R"(, "us_per_query": )" << PerQuery
      << R"(, "us_per_subrequest": )" << PerQuery / static_cast<double>(FanOut)
      << "}" << std::endl;
}

std::vector<Subrequest> sentSubrequests(const QueryActions &Actions) {
  std::vector<Subrequest> Sends;
  for (const QueryAction &Action : Actions)
    if (const auto *Send = std::get_if<SendSubrequest>(&Action))
      Sends.push_back(Send->Request);
  return Sends;
}

QueryRun makeRun(Service &Of) {
  return {{.Service = Of.Name,
           .Class = ClassName("interactive"),
           .Deadline = Start + Milliseconds(110),
           .Request = Of.Records},
          {.Pinner = Of.Pinner,
           .Routes = Of.Routes,
           .Budget = Of.Budget,
           .Ids = Of.Ids},
          {}};
}

/// Coordinator: pins a snapshot, sends the subrequests and handles every
/// answer.
void runQuery(Service &Of) {
  QueryRun Run = makeRun(Of);
  for (const Subrequest &Sent : sentSubrequests(Run.start(Start))) {
    SubAnswered Answer{
        .Version = Sent.Version, .Layout = Sent.Layout, .Payload = Of.Records};
    static_cast<void>(Run.onEnded(
        {.Id = Sent.Id, .Shard = Sent.Shard, .Outcome = Answer}, Start));
  }
}

/// Owner: queues, sends and completes one subrequest per shard.
void runQueues(Service &Of, OwnerQueues &Queues,
               const std::vector<Subrequest> &Sends) {
  const IndexLayout &Layout = Of.Pinner.index().Layouts.front();
  for (Subrequest Sent : Sends) {
    Sent.Id = Of.Ids.next();
    const auto &Replicas = Layout.Shards[Sent.Shard.value()].Replicas;
    for (const QueueAction &Action : Queues.enqueue(Sent, Replicas, Start)) {
      const auto *Attempt = std::get_if<SendAttempt>(&Action);
      if (Attempt == nullptr)
        continue;
      Queues.onStarted(Attempt->Attempt, Start);
      SubAnswered Answer{.Version = Sent.Version,
                         .Layout = Sent.Layout,
                         .Payload = Of.Records};
      static_cast<void>(
          Queues.onAnswered(Attempt->Attempt, Answer, Start + Milliseconds(3)));
    }
  }
}

void runRoutes(const Service &Of) {
  for (const ShardReplicas &Shard : Of.Pinner.index().Layouts.front().Shards)
    static_cast<void>(Of.Routes->routesFor(Of.Name, Shard));
}

/// Encodes the JSON request to a backend server and decodes its answer.
void runCodec(const std::vector<Subrequest> &Sends) {
  http::Response Response;
  Response.Body =
      R"({"id":"vm-1.17.9","shard":2,"version":5,"layout":1,"ran":true,)"
      R"("count":1,"records":[{"id":"C-1","household":"H-1007"}],)"
      R"("oldest":2,"newest":5,"draining":false})";
  for (const Subrequest &Sent : Sends) {
    backend::SearchRequest Search{.Id = "vm-1.17.9",
                                  .Service = Sent.Service,
                                  .Shard = ShardId(2),
                                  .Version = IndexVersion(5),
                                  .Layout = 1,
                                  .Request = *Sent.Request};
    static_cast<void>(backend::encodeSearch(Search));
    static_cast<void>(backend::decodeSearch(Search, Response));
  }
}

OwnerQueues makeQueues(Service &Of) {
  OwnerQueues Queues;
  ServiceQueueOptions Options;
  Options.Classes = {{.Name = ClassName("interactive"), .Share = 1.0}};
  Queues.configure(Of.Name, Options, Of.Pinner.board());
  for (const ServerInfo &Server : Of.Pinner.index().Servers)
    Queues.setSlots(Server.Name, Server.Slots);
  return Queues;
}

void measureFanOut(std::ostream &Out, std::size_t FanOut) {
  Service Of(FanOut);
  QueryRun Sample = makeRun(Of);
  std::vector<Subrequest> Sends = sentSubrequests(Sample.start(Start));
  OwnerQueues Queues = makeQueues(Of);
  report(Out, "coordinator", FanOut, [&] { runQuery(Of); });
  report(Out, "routes", FanOut, [&] { runRoutes(Of); });
  report(Out, "owner_queues", FanOut, [&] { runQueues(Of, Queues, Sends); });
  report(Out, "search_codec", FanOut, [&] { runCodec(Sends); });
  report(Out, "pin_anew", FanOut, [&] {
    static_cast<void>(pinSnapshot(Of.Pinner.index(), Of.Pinner.board()));
  });
}

} // namespace

void measureDecisions(std::ostream &Out) {
  for (std::size_t FanOut : FanOuts)
    measureFanOut(Out, FanOut);
}

} // namespace carawaypond::bench
