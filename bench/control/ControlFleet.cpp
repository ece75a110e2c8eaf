#include "ControlFleet.h"

#include "FleetContent.h"

#include "coordination/configuration/WatchPlan.h"
#include "peer/codec/DigestCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace carawaypond::bench {

namespace {

constexpr Milliseconds TickPeriod{500};
constexpr std::uint64_t StepsPerSecond = 2;
constexpr std::size_t ReplicasPerIndex = 100;
constexpr std::size_t RemoteCentre =
    1000; // above the numbers of simulated data centres
constexpr std::size_t VmsPerRemoteCentre = 79;

ControlNodeOptions makeOptions(std::size_t Centre, std::size_t Number) {
  ControlNodeOptions Options;
  Options.Members.Self = makeVm(Centre, Number);
  Options.Feed.Seed = Centre * 1000 + Number;
  return Options;
}

} // namespace

/// @brief Handles the store reads of a node; lists are answered immediately.
struct ControlFleet::ReadVisitor {
  ControlFleet &Fleet;
  Node &At;

  void operator()(const ListObjects &) const {
    ++Fleet.m_Counts.ServiceLists;
    At.Core.onServiceList(Fleet.m_Revision, Fleet.m_Store, Fleet.m_Now,
                          Fleet.m_Now);
  }
  /// A watch is never answered: without changes it costs one call per timeout.
  void operator()(const WatchObjects &) const {
    ++Fleet.m_Counts.ServiceWatches;
  }
};

ControlFleet::ControlFleet(FleetSize Size) : m_Size(Size) {
  for (std::size_t I = 0; I < Size.Services; ++I)
    m_Store.push_back(makeService(I, MaxSubmissionHistory));
  for (std::size_t Centre = 0; Centre < Size.Centres; ++Centre) {
    for (std::size_t Number = 0; Number < Size.VmsPerCentre; ++Number) {
      m_Places[makeVm(Centre, Number).Name] = m_Nodes.size();
      m_Nodes.push_back({.Core = ControlNode(makeOptions(Centre, Number))});
    }
  }
  for (Node &Each : m_Nodes)
    loadInitialContent(Each);
}

Duration ControlFleet::period() { return TickPeriod; }

void ControlFleet::loadInitialContent(Node &At) {
  At.Core.onWritten(m_Store.front());
  for (const StoredService &Stored : m_Store)
    At.Core.onWritten(Stored);
  for (std::size_t I = 0; I < m_Size.Replicas / ReplicasPerIndex; ++I) {
    At.Indexes.take(makeIndex(I, ReplicasPerIndex));
    At.Versions.take(makeVersions(I, ReplicasPerIndex, m_NewestVersion),
                     m_Now - std::chrono::minutes(1));
  }
  Digest Others;
  for (const Node &Each : m_Nodes) {
    Others.Sender = Each.Core.members().self();
    if (Others.Sender.Name != At.Core.members().self().Name)
      At.Core.onRequest(Others, m_Now);
  }
}

/// Keeps the VMs of data centres that are not simulated live, with the digests
/// that their representatives would send.
void ControlFleet::receiveRemoteDigest(Node &At) {
  if (m_Size.KnownVms == 0)
    return;
  Digest Heard;
  Heard.Sender = makeVm(RemoteCentre, 0);
  Heard.Sender.Counter = m_Steps + 1;
  for (std::size_t I = 0; I < m_Size.KnownVms; ++I) {
    std::size_t Centre = RemoteCentre + I / VmsPerRemoteCentre;
    if (m_Steps == 0)
      Heard.Vms.push_back(makeVm(Centre, I % VmsPerRemoteCentre));
    if (I % VmsPerRemoteCentre == 0)
      Heard.Centres.push_back(
          {.Centre = makeVm(Centre, 0).Centre, .Heard = VmsPerRemoteCentre});
  }
  At.Core.onReply(Heard, m_Now, m_Now);
}

Digest ControlFleet::makeDigest(Node &From, bool Full) const {
  Digest Made = From.Core.makeDigest(Full, m_Now);
  From.Indexes.fill(Made);
  From.Versions.fill(Made, m_Now);
  return Made;
}

Digest ControlFleet::transfer(const Digest &Sent) {
  capnp::MallocMessageBuilder Builder;
  peer::writeDigest(Sent, Builder.initRoot<peer::wire::Digest>());
  kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  m_Counts.DigestBytes += Words.size() * sizeof(capnp::word);
  capnp::FlatArrayMessageReader Reader(Words);
  return peer::readDigest(Reader.getRoot<peer::wire::Digest>());
}

void ControlFleet::take(Node &At, const Digest &Heard) {
  At.Versions.take(Heard.Versions, m_Now);
  static_cast<void>(At.Indexes.lacking(Heard));
}

void ControlFleet::fetch(Node &To, const Node &From,
                         const ConfigFetch &Wanted) {
  std::vector<StoredService> Newer;
  for (const ConfigRegistry::Entry &Each :
       From.Core.configs().newerThan(Wanted.Held, ControlNode::MaxFetched))
    Newer.push_back(*Each);
  To.Core.onFetched(Wanted, From.Core.members().self().IncarnationNumber,
                    std::move(Newer), m_Now);
}

void ControlFleet::exchange(Node &From, const Contact &To) {
  auto Place = m_Places.find(To.Name);
  if (Place == m_Places.end())
    return;
  Node &Other = m_Nodes[Place->second];
  ++m_Counts.Exchanges;
  Digest Request = transfer(makeDigest(From, To.Full));
  std::optional<ConfigFetch> Wanted = Other.Core.onRequest(Request, m_Now);
  Digest Reply = transfer(makeDigest(Other, true));
  take(Other, Request);
  if (Wanted)
    fetch(Other, From, *Wanted);
  Wanted = From.Core.onReply(Reply, m_Now, m_Now);
  take(From, Reply);
  if (Wanted)
    fetch(From, Other, *Wanted);
}

void ControlFleet::tickNode(std::size_t Place) {
  Node &At = m_Nodes[Place];
  receiveRemoteDigest(At);
  ControlTick Wanted = At.Core.tick(0, m_Now);
  for (const Contact &To : Wanted.Exchanges)
    exchange(At, To);
  for (const StoreReadAction &Read : Wanted.ServiceReads)
    std::visit(ReadVisitor{*this, At}, Read);
}

void ControlFleet::changeConfigs() {
  m_PendingChanges += m_Size.ChangesPerSecond / StepsPerSecond;
  for (; m_PendingChanges >= 1; m_PendingChanges -= 1) {
    std::size_t Chosen = m_NextChange++ % m_Store.size();
    std::uint64_t Version = m_Store[Chosen].Version.value() + 1;
    m_Store[Chosen] = makeService(Chosen, Version);
    ++m_Revision;
    m_Nodes.front().Core.onWritten(m_Store[Chosen]);
  }
}

void ControlFleet::advanceVersions() {
  if (!m_Size.VersionsAdvance || m_Steps % StepsPerSecond != 0)
    return;
  ++m_NewestVersion;
  for (std::size_t I = 0; I < m_Size.Replicas / ReplicasPerIndex; ++I)
    m_Nodes[I % m_Nodes.size()].Versions.take(
        makeVersions(I, ReplicasPerIndex, m_NewestVersion), m_Now);
}

void ControlFleet::step() {
  m_Now += TickPeriod;
  changeConfigs();
  advanceVersions();
  for (std::size_t Place = 0; Place < m_Nodes.size(); ++Place)
    tickNode(Place);
  ++m_Steps;
}

} // namespace carawaypond::bench
