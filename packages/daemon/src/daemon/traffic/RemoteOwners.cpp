#include "daemon/traffic/RemoteOwners.h"

#include "daemon/traffic/PeerConversion.h"
#include "peer/node/PeerNode.h"
#include "peer/node/RunObserver.h"

#include <boost/asio/post.hpp>

#include <memory>
#include <tuple>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

/// @brief A batch sent to another VM, with the data needed to handle its
/// results.
struct SentBatch {
  std::map<SubrequestId, RemoteOwners::SentSubrequest> Parts;
  TimePoint SentAt;
  RemoteObserver Observer;
};

bool mayHaveBeenSent(const Error &Failure) {
  return Failure.Code != ErrorCode::NotConnected &&
         Failure.Code != ErrorCode::Unavailable &&
         Failure.Code != ErrorCode::TooLarge;
}

} // namespace

bool RemoteOwners::IncomingLess::operator()(const IncomingKey &Left,
                                            const IncomingKey &Right) const {
  return std::tie(Left.first.Vm, Left.first.IncarnationNumber, Left.second) <
         std::tie(Right.first.Vm, Right.first.IncarnationNumber, Right.second);
}

RemoteOwners::RemoteOwners(TrafficContext &Context, ServiceTable &Services,
                           OwnerRunner &Owned)
    : m_Context(Context), m_Services(Services), m_Owned(Owned) {}

void RemoteOwners::run(const ControlView &View, const VmName &Owner,
                       const std::vector<Subrequest> &Batch,
                       RemoteObserver Observer) {
  const VmView *Vm = View.findVm(Owner);
  auto Sent = std::make_shared<SentBatch>();
  Sent->SentAt = monotonicNow();
  Sent->Observer = std::move(Observer);
  std::vector<peer::PeerSubrequest> Encoded;
  WallMillis WallNow = wallNow();
  for (const Subrequest &Request : Batch) {
    Sent->Parts.emplace(Request.Id, SentSubrequest{.Service = Request.Service,
                                                   .Class = Request.Class,
                                                   .Shard = Request.Shard});
    Encoded.push_back(toPeer(Request, Sent->SentAt, WallNow));
  }
  auto OnLost = [this, Sent](const Error &Failure,
                             const std::vector<SubrequestId> &Ids) {
    bool MayHaveBeenSent = mayHaveBeenSent(Failure);
    asio::post(m_Context.Io, [this, Sent, Ids, MayHaveBeenSent] {
      m_Context.Collected.count("owner_lost_total", Ids.size());
      for (SubrequestId Id : Ids)
        Sent->Observer.OnLost(Id, MayHaveBeenSent);
    });
  };
  if (!Vm || !m_Node) {
    std::vector<SubrequestId> Ids;
    for (const auto &[Id, Part] : Sent->Parts)
      Ids.push_back(Id);
    OnLost(Error{.Code = ErrorCode::NotConnected,
                 .Message = "VM \"" + Owner.value() + "\" is not known"},
           Ids);
    return;
  }
  auto OnResult = [this, Sent](peer::PeerResult Result) {
    asio::post(m_Context.Io, [this, Sent, Result = std::move(Result)] {
      auto Part = Sent->Parts.find(Result.Id);
      if (Part == Sent->Parts.end())
        return;
      const SentSubrequest &Asked = Part->second;
      recordOwnerReport(Asked, Sent->SentAt, Result);
      recordServedVersions(Asked.Service, Asked.Shard, Result);
      Sent->Observer.OnOutcome(Result.Id, fromPeer(Result, Asked.Shard));
    });
  };
  m_Context.Collected.count("forwarded_batches_total");
  m_Context.Collected.count("forwarded_subrequests_total", Batch.size());
  m_Node->run(Vm->PeerAddress, Vm->IncarnationNumber, std::move(Encoded),
              {.OnResult = OnResult, .OnLost = OnLost});
}

/// Records the latency and the queue wait of the owner.
void RemoteOwners::recordOwnerReport(const SentSubrequest &Asked,
                                     TimePoint SentAt,
                                     const peer::PeerResult &Result) {
  std::shared_ptr<ServiceRuntime> Runtime = m_Services.find(Asked.Service);
  if (!Runtime)
    return;
  TimePoint Now = monotonicNow();
  Runtime->forwarded().record(Asked.Class, Now - SentAt, Now);
  if (Result.Wait > Duration::zero())
    Runtime->admission().noteExpectedWait(Result.Wait, Now);
}

void RemoteOwners::recordServedVersions(const ServiceName &Service,
                                        ShardId Shard,
                                        const peer::PeerResult &Result) {
  std::shared_ptr<ServiceRuntime> Runtime = m_Services.find(Service);
  bool IsAnswer = Result.Outcome == peer::PeerOutcome::Answered;
  if (!Runtime || !Result.Server || !IsAnswer)
    return;
  for (const VersionRange &Range : Result.Ranges)
    Runtime->pinner().board().noteAnswer(*Result.Server, Shard, Range,
                                         monotonicNow());
}

void RemoteOwners::cancel(const ControlView &View, const VmName &Owner,
                          SubrequestId Id) {
  const VmView *Vm = View.findVm(Owner);
  if (Vm && m_Node)
    m_Node->cancel(Vm->PeerAddress, {Id});
}

void RemoteOwners::serve(const peer::PeerIdentity &From,
                         const std::vector<peer::PeerSubrequest> &Batch,
                         const peer::ResultSink &Sink) {
  for (const peer::PeerSubrequest &Request : Batch)
    serveOne(From, Request, Sink);
}

void RemoteOwners::serveOne(const peer::PeerIdentity &From,
                            const peer::PeerSubrequest &Request,
                            const peer::ResultSink &Sink) {
  IncomingKey Key{From, Request.Id};
  auto [Place, IsNew] = m_Incoming.emplace(Key, m_Context.Ids.next());
  if (!IsNew)
    return;
  Subrequest Local =
      fromPeer(Request, Place->second, monotonicNow(), wallNow());
  auto Done = [this, Key, Sink, Asked = Local](const SubOutcome &Outcome) {
    m_Incoming.erase(Key);
    peer::PeerResult Result = toPeer(Key.second, Outcome);
    if (Result.Outcome == peer::PeerOutcome::Answered)
      addNewestRange(Asked, Result);
    Result.Wait =
        m_Owned.expectedWait(Asked.Service, Asked.Class, monotonicNow());
    Sink(std::move(Result));
  };
  m_Owned.enqueue(std::move(Local), std::move(Done));
}

void RemoteOwners::addNewestRange(const Subrequest &Request,
                                  peer::PeerResult &Result) const {
  std::shared_ptr<ServiceRuntime> Runtime = m_Services.find(Request.Service);
  if (!Runtime)
    return;
  const ReplicaVersionTracker &Board = Runtime->pinner().board();
  const VersionRange *Newest = nullptr;
  for (const ServerInfo &Server : Runtime->index().Servers) {
    const VersionRange *Range =
        Board.rangeOf(Server.Name, Request.Shard, Request.Layout);
    if (!Range || (Newest && Range->Newest <= Newest->Newest))
      continue;
    Newest = Range;
    Result.Server = Server.Name;
  }
  if (Newest)
    Result.Ranges = {*Newest};
}

void RemoteOwners::serveCancel(const peer::PeerIdentity &From,
                               const std::vector<SubrequestId> &Ids) {
  for (SubrequestId Id : Ids) {
    auto Found = m_Incoming.find({From, Id});
    if (Found != m_Incoming.end())
      m_Owned.cancel(Found->second);
  }
}

} // namespace carawaypond::daemon
