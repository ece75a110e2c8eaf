#include "TrafficModel.h"

#include <algorithm>
#include <string>

namespace carawaypond::proof {

namespace {

constexpr std::uint32_t OwnerCount = 3;
constexpr std::uint32_t ServerCount = 4;
constexpr std::uint32_t SlotsPerServer = 2;
constexpr std::size_t ShardsOfFirstLayout = 3;
constexpr std::size_t ReplicasPerShard = 2;
constexpr std::size_t MaxLayouts = 4;
constexpr std::size_t MaxDrainSteps = 20'000;
constexpr std::uint32_t LongestPauseMs = 60;
const ServiceName Service("claims");

template <typename T> T &pickFrom(std::vector<T> &Items, std::uint32_t Pick) {
  return Items[Pick % Items.size()];
}

VmName ownerName(std::uint32_t Number) {
  return VmName("vm-" + std::to_string(Number));
}

std::shared_ptr<const RouteTable> makeRoutes(OwnershipUnit Unit) {
  RouteTableOptions Options{
      .Unit = Unit, .Self = ownerName(0), .LiveVms = {}, .Fallbacks = 2};
  for (std::uint32_t I = 0; I < OwnerCount; ++I)
    Options.LiveVms.push_back(ownerName(I));
  return std::make_shared<const RouteTable>(std::move(Options));
}

IndexObject makeIndex() {
  IndexObject Index;
  Index.Name = Service.value();
  for (std::uint32_t I = 0; I < ServerCount; ++I)
    Index.Servers.push_back({.Name = ServerName("s-" + std::to_string(I)),
                             .Address = "",
                             .Centre = DataCentre("umea-a"),
                             .Slots = SlotsPerServer,
                             .Connections = SlotsPerServer,
                             .Leaving = false});
  return Index;
}

} // namespace

TrafficModel::TrafficModel(TrafficProperty Property, OwnershipUnit Unit)
    : m_Now(std::chrono::hours(1)),
      m_Pinner(std::make_unique<SnapshotPinner>(makeIndex())),
      m_Routes(makeRoutes(Unit)), m_Checker(Property) {
  for (std::uint32_t I = 0; I < OwnerCount; ++I)
    m_Owners.push_back(std::make_unique<OwnerModel>(ownerName(I), Service));
  for (const ServerInfo &Info : m_Pinner->index().Servers) {
    m_Servers.emplace_back(Info.Name);
    for (auto &Owner : m_Owners)
      Owner->queues().setSlots(Info.Name, Info.Slots);
  }
  addLayout();
  for (ServerModel &Server : m_Servers) {
    Server.catchUp(m_Newest);
    reportStatus(Server);
  }
}

/// Adds a layout with one more shard, valid from the next version on.
void TrafficModel::addLayout() {
  IndexObject Index = m_Pinner->index();
  std::size_t Number = Index.Layouts.size() + 1;
  IndexVersion From(Number == 1 ? 0 : m_Newest.value() + 1);
  IndexLayout Layout{.Layout = Number, .FromVersion = From, .Shards = {}};
  std::size_t Shards = ShardsOfFirstLayout + Number - 1;
  for (std::size_t I = 0; I < Shards; ++I) {
    ShardReplicas Shard{.Shard = ShardId(static_cast<std::uint32_t>(I)),
                        .Replicas = {}};
    for (std::size_t R = 0; R < ReplicasPerShard; ++R) {
      ServerModel &Server = m_Servers[(I + R + Number) % m_Servers.size()];
      Server.addServedShard(Number, Shard.Shard);
      Shard.Replicas.push_back(Server.name());
    }
    Layout.Shards.push_back(std::move(Shard));
  }
  Index.Layouts.push_back(std::move(Layout));
  ++Index.ObjectVersion;
  m_Pinner->setIndex(std::move(Index));
  m_Newest = std::max(m_Newest, From);
}

OwnerModel &TrafficModel::owner(const VmName &Name) {
  return **std::find_if(m_Owners.begin(), m_Owners.end(),
                        [&](auto &Each) { return Each->name() == Name; });
}

ServerModel &TrafficModel::server(const ServerName &Name) {
  return *std::find_if(m_Servers.begin(), m_Servers.end(),
                       [&](auto &Each) { return Each.name() == Name; });
}

void TrafficModel::post(std::vector<Message> Messages) {
  for (Message &Each : Messages)
    m_Messages.push_back(std::move(Each));
}

void TrafficModel::act(std::size_t Query, QueryActions Actions) {
  for (QueryAction &Action : Actions) {
    if (auto *Send = std::get_if<SendSubrequest>(&Action))
      m_Messages.emplace_back(
          SubrequestToOwner{.Owner = Send->Owner,
                            .Query = Query,
                            .Request = std::move(Send->Request)});
    if (auto *Cancel = std::get_if<CancelSubrequest>(&Action))
      m_Messages.emplace_back(
          CancelToOwner{.Owner = Cancel->Owner, .Id = Cancel->Id});
    if (auto *Finish = std::get_if<FinishQuery>(&Action))
      m_Checker.onResult(Query, Finish->Result, m_Pinner->index());
  }
}

void TrafficModel::newQuery(std::uint32_t Pick) {
  std::size_t Number = m_Queries.size();
  bool Repeatable = Pick % 3 != 0;
  Query Submitted{
      .Service = Service,
      .Class = ClassName(Pick % 2 == 0 ? "interactive" : "sweep"),
      .Deadline = m_Now + Milliseconds(20 + Pick % 200),
      .Repeatable = Repeatable,
      .Request = std::make_shared<const std::string>(std::to_string(Number))};
  QueryResources Resources{.Pinner = *m_Pinner,
                           .Routes = m_Routes,
                           .Budget = m_Budget,
                           .Ids = m_Ids};
  m_Checker.onQueryStarted(Repeatable);
  m_Queries.push_back(std::make_unique<QueryRun>(std::move(Submitted),
                                                 Resources, QueryRunOptions{}));
  act(Number, m_Queries.back()->start(m_Now));
}

void TrafficModel::receive(const SubrequestToOwner &Arrived) {
  const IndexLayout *Layout =
      m_Pinner->index().findLayout(Arrived.Request.Layout);
  auto Shard = std::find_if(Layout->Shards.begin(), Layout->Shards.end(),
                            [&](const ShardReplicas &Each) {
                              return Each.Shard == Arrived.Request.Shard;
                            });
  post(owner(Arrived.Owner).enqueue(Arrived, Shard->Replicas, m_Now));
}

void TrafficModel::receive(const CancelToOwner &Arrived) {
  OwnerModel &Owner = owner(Arrived.Owner);
  post(Owner.translate(Owner.queues().cancel(Arrived.Id, m_Now)));
}

void TrafficModel::receive(const OutcomeToCoordinator &Arrived) {
  act(Arrived.Query, m_Queries[Arrived.Query]->onEnded(Arrived.Ended, m_Now));
}

void TrafficModel::receive(const OwnerLost &Arrived) {
  act(Arrived.Query, m_Queries[Arrived.Query]->onOwnerLost(
                         Arrived.Id, Arrived.MayHaveBeenSent, m_Now));
}

void TrafficModel::receive(const AttemptToServer &Arrived) {
  std::optional<ReplyFromServer> Refusal =
      server(Arrived.Send.Server).receive(Arrived, m_Now);
  if (Refusal)
    m_Messages.emplace_back(*std::move(Refusal));
  else
    m_Checker.onRun(Arrived.Send.Request);
}

void TrafficModel::receive(const CancelToServer & /*Arrived*/) {
  // A running subrequest is not interrupted; its response arrives late.
}

void TrafficModel::receive(const ReplyFromServer &Arrived) {
  post(owner(Arrived.Owner).onAnswer(Arrived, m_Now));
}

void TrafficModel::receive(const AttemptLost &Arrived) {
  OwnerModel &Owner = owner(Arrived.Owner);
  post(Owner.translate(Owner.queues().onLost(Arrived.Attempt, m_Now)));
}

void TrafficModel::deliver(std::size_t Index, bool IsDuplicated) {
  Message Arrived = m_Messages[Index];
  bool IsAnswer = std::holds_alternative<OutcomeToCoordinator>(Arrived) ||
                  std::holds_alternative<ReplyFromServer>(Arrived);
  if (!IsDuplicated || !IsAnswer)
    m_Messages.erase(m_Messages.begin() + static_cast<std::ptrdiff_t>(Index));
  ++m_Events;
  std::visit([&](const auto &Each) { receive(Each); }, Arrived);
}

/// Replaces a message by a notification to its sender that it may be lost.
void TrafficModel::lose(std::size_t Index) {
  Message &Lost = m_Messages[Index];
  if (const auto *Sent = std::get_if<SubrequestToOwner>(&Lost))
    Lost = OwnerLost{
        .Query = Sent->Query, .Id = Sent->Request.Id, .MayHaveBeenSent = true};
  else if (const auto *Ended = std::get_if<OutcomeToCoordinator>(&Lost))
    Lost = OwnerLost{
        .Query = Ended->Query, .Id = Ended->Ended.Id, .MayHaveBeenSent = true};
  else if (const auto *Attempt = std::get_if<AttemptToServer>(&Lost))
    Lost =
        AttemptLost{.Owner = Attempt->Owner, .Attempt = Attempt->Send.Attempt};
  else if (const auto *Answer = std::get_if<ReplyFromServer>(&Lost))
    Lost = AttemptLost{.Owner = Answer->Owner, .Attempt = Answer->Attempt};
}

void TrafficModel::failToConnect(std::size_t Index) {
  Message &Unsent = m_Messages[Index];
  if (const auto *Sent = std::get_if<SubrequestToOwner>(&Unsent))
    Unsent = OwnerLost{
        .Query = Sent->Query, .Id = Sent->Request.Id, .MayHaveBeenSent = false};
  else if (const auto *Attempt = std::get_if<AttemptToServer>(&Unsent))
    Unsent = ReplyFromServer{
        .Owner = Attempt->Owner,
        .Attempt = Attempt->Send.Attempt,
        .Answer = ServerRefusal{
            .Reason = SubReason::NotConnected, .Ran = false, .Served = {}}};
}

/// Delivers a copy of an outcome to another query than its own.
void TrafficModel::misroute(std::size_t Index, std::uint32_t Pick) {
  Message Copy = m_Messages[Index];
  if (auto *Ended = std::get_if<OutcomeToCoordinator>(&Copy)) {
    std::size_t Other = Pick % m_Queries.size();
    if (Other == Ended->Query)
      return;
    Ended->Query = Other;
    receive(*Ended);
  }
}

void TrafficModel::endRun(ServerModel &Server, std::uint32_t Pick,
                          StepKind How) {
  if (Server.idle())
    return;
  RunningAttempt Ended = Server.takeRunning(Pick);
  const Subrequest &Request = Ended.Send.Request;
  ReplyFromServer Reply{.Owner = Ended.Owner,
                        .Attempt = Ended.Send.Attempt,
                        .Answer = ServerRefusal{.Reason = SubReason::Failed,
                                                .Ran = true,
                                                .Served = {}}};
  if (How != StepKind::FailRun) {
    bool IsOther = How == StepKind::AnswerOtherVersion;
    ExecutionRecord Ran{.Query = std::stoul(*Request.Request),
                        .Shard = Request.Shard,
                        .Version = IsOther ? Server.newestFor(Request)
                                           : Request.Version,
                        .Layout = Request.Layout};
    Reply.Answer = SubAnswered{.Version = Ran.Version,
                               .Layout = Ran.Layout,
                               .Payload = Ran.toPayload()};
  }
  m_Messages.emplace_back(std::move(Reply));
}

void TrafficModel::reportStatus(const ServerModel &Server) {
  for (const ReplicaVersions &Status : Server.status()) {
    m_Pinner->board().noteStatus(Status, m_Now);
    for (auto &Owner : m_Owners)
      Owner->versions().noteStatus(Status, m_Now);
  }
}

void TrafficModel::setState(const ServerName &Server, ServerState State) {
  m_Pinner->board().setState(Server, State);
  for (auto &Owner : m_Owners) {
    post(Owner->translate(Owner->queues().setState(Server, State, m_Now)));
  }
}

void TrafficModel::tickAll() {
  for (std::size_t I = 0; I < m_Queries.size(); ++I)
    act(I, m_Queries[I]->tick(m_Now));
  for (auto &Owner : m_Owners)
    post(Owner->translate(Owner->queues().tick(m_Now)));
}

void TrafficModel::apply(const Step &Next) {
  ++m_Events;
  ServerModel &Server = pickFrom(m_Servers, Next.Pick);
  std::size_t Index = m_Messages.empty() ? 0 : Next.Pick % m_Messages.size();
  bool AnyMessage = !m_Messages.empty();
  switch (Next.Kind) {
  case StepKind::NewQuery:
    return newQuery(Next.Pick);
  case StepKind::Deliver:
    return AnyMessage ? deliver(Index, false) : void();
  case StepKind::DeliverTwice:
    return AnyMessage ? deliver(Index, true) : void();
  case StepKind::Lose:
    return AnyMessage ? lose(Index) : void();
  case StepKind::FailToConnect:
    return AnyMessage ? failToConnect(Index) : void();
  case StepKind::Misroute:
    return AnyMessage ? misroute(Index, Next.Pick / 7) : void();
  case StepKind::RunToEnd:
  case StepKind::AnswerOtherVersion:
  case StepKind::FailRun:
    return endRun(Server, Next.Pick / ServerCount, Next.Kind);
  case StepKind::Shed:
    return Server.shedNext();
  case StepKind::Advance:
    m_Now += Milliseconds(1 + Next.Pick % LongestPauseMs);
    return;
  case StepKind::Tick:
    return tickAll();
  case StepKind::PublishVersion:
    m_Newest = IndexVersion(m_Newest.value() + 1);
    return;
  case StepKind::ServerCatchesUp:
    return Server.catchUp(m_Newest);
  case StepKind::ServerWithdraws:
    return Server.withdraw(m_Newest);
  case StepKind::Repartition:
    return m_Pinner->index().Layouts.size() < MaxLayouts ? addLayout() : void();
  case StepKind::ReportStatus:
    return reportStatus(Server);
  case StepKind::ServerLeaves:
    Server.setLeaving(true);
    return setState(Server.name(), ServerState::Leaving);
  case StepKind::ServerFails:
    return setState(Server.name(), ServerState::Down);
  case StepKind::ServerReturns:
    Server.setLeaving(false);
    return setState(Server.name(), ServerState::Up);
  case StepKind::CallerCancels:
    if (!m_Queries.empty()) {
      std::size_t Query = Next.Pick % m_Queries.size();
      act(Query, m_Queries[Query]->cancel(m_Now));
    }
    return;
  }
}

std::map<std::string, std::uint64_t> TrafficModel::counters() const {
  std::map<std::string, std::uint64_t> Counts;
  for (const auto &Run : m_Queries) {
    const QueryCounters &Each = Run->counters();
    Counts["rerouted to another VM"] += Each.Reroutes;
    Counts["restarts on another version"] += Each.Restarts;
    Counts["answers of other queries dropped"] += Each.ForeignAnswers;
    Counts["late answers dropped"] += Each.LateAnswers;
  }
  for (const auto &Owner : m_Owners) {
    QueueCounters Each = Owner->queues().counters();
    Counts["sends to backend servers"] += Each.Sends;
    Counts["hedges"] += Each.Hedges;
    Counts["retries"] += Each.Retries;
    Counts["answers of other versions dropped"] += Each.WrongVersions;
  }
  return Counts;
}

void TrafficModel::drain() {
  auto IsIdle = [](const ServerModel &Server) { return Server.idle(); };
  for (std::size_t I = 0; I < MaxDrainSteps; ++I) {
    if (m_Messages.empty() &&
        std::all_of(m_Servers.begin(), m_Servers.end(), IsIdle) &&
        std::all_of(m_Queries.begin(), m_Queries.end(),
                    [](const auto &Run) { return Run->finished(); }))
      break;
    if (!m_Messages.empty())
      deliver(0, false);
    for (ServerModel &Server : m_Servers)
      endRun(Server, 0, StepKind::RunToEnd);
    m_Now += Milliseconds(1);
    tickAll();
  }
  m_Checker.onEnd();
}

} // namespace carawaypond::proof
