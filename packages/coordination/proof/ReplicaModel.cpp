#include "ReplicaModel.h"

#include <algorithm>

namespace carawaypond::proof {

namespace {

constexpr std::size_t VmCount = 4;
constexpr std::size_t FirstServers = 12;
constexpr Milliseconds ReadInterval{600};
constexpr Milliseconds MaxDelay{300};
/// How soon a live server's entry is back after an outage.
constexpr int MaxReturnMillis = 1'900;
/// An entry expires after three heartbeats of the server.
constexpr Milliseconds MinOutageToExpire{3'600};
constexpr Milliseconds MaxCopyAge{9'000};

} // namespace

ReplicaModel::ReplicaModel(std::uint32_t Seed, bool WithRestores)
    : m_Random(Seed), m_WithRestores(WithRestores), m_Vms(VmCount) {
  for (std::size_t I = 0; I < FirstServers; ++I)
    addServer();
  for (Vm &Each : m_Vms)
    Each.FaultEnd = m_Now;
}

int ReplicaModel::draw(int Bound) {
  return std::uniform_int_distribution<int>(0, Bound - 1)(m_Random);
}

bool ReplicaModel::isInTouch(const Vm &Of) const {
  TimePoint Calm = m_Now - Stability;
  return !isOut() && m_OutUntil <= Calm && Of.CutUntil <= Calm &&
         Of.FaultEnd <= Calm;
}

void ReplicaModel::addServer() {
  m_Servers.push_back(
      {.Id = ServerName("i-" + std::to_string(m_Servers.size())),
       .Revision = ++m_Revision,
       .StoredSince = m_Now});
}

void ReplicaModel::removeServer() {
  Server &Chosen = m_Servers[static_cast<std::size_t>(
      draw(static_cast<int>(m_Servers.size())))];
  if (!Chosen.IsAlive || !Chosen.IsStored)
    return;
  Chosen.IsAlive = false;
  Chosen.IsStored = false;
  Chosen.Revision = ++m_Revision;
  Chosen.RemovedAt = m_Now;
  Chosen.WasRemovedInCalm = m_OutUntil + Stability <= m_Now;
}

void ReplicaModel::beginOutage() {
  Milliseconds Length(500 + draw(9'000));
  m_OutUntil = m_Now + Length;
  bool Expires = Length >= MinOutageToExpire;
  for (Server &Each : m_Servers) {
    if (!Expires || !Each.IsStored || chance(300))
      continue;
    Each.IsStored = false;
    Each.Revision = ++m_Revision;
    Each.ReturnsAt = m_OutUntil + Milliseconds(draw(MaxReturnMillis));
  }
}

void ReplicaModel::keepCopy() {
  m_Copies.push_back(
      {.At = m_Now, .Revision = m_Revision, .Servers = m_Servers});
  if (m_Now - m_Copies.front().At > MaxCopyAge)
    m_Copies.pop_front();
}

void ReplicaModel::beginRestore() {
  if (m_Copies.empty())
    return;
  const Copy &Chosen = m_Copies[static_cast<std::size_t>(
      draw(static_cast<int>(m_Copies.size())))];
  m_OutUntil = m_Now + Milliseconds(draw(4'000));
  m_Era = StoreEra(m_Era.value() + 1);
  m_Revision = Chosen.Revision;
  for (std::size_t I = 0; I < m_Servers.size(); ++I) {
    Server &Each = m_Servers[I];
    Each.IsStored = I < Chosen.Servers.size() && Chosen.Servers[I].IsStored;
    Each.Revision = Each.IsStored ? Chosen.Servers[I].Revision : 0;
    // Its removal is lost, and comes again when the entry expires.
    if (Each.IsStored && !Each.IsAlive)
      Each.WasRemovedInCalm = false;
    Each.ReturnsAt = m_OutUntil + Milliseconds(draw(MaxReturnMillis));
    Each.ExpiresAt = m_OutUntil + MinOutageToExpire;
  }
  m_Copies.clear();
}

void ReplicaModel::writeEntries() {
  for (Server &Each : m_Servers) {
    if (!Each.IsAlive && Each.IsStored && m_Now >= Each.ExpiresAt) {
      Each.IsStored = false;
      Each.Revision = ++m_Revision;
    }
    if (!Each.IsAlive || Each.IsStored || m_Now < Each.ReturnsAt)
      continue;
    Each.IsStored = true;
    Each.StoredSince = m_Now;
    Each.Revision = ++m_Revision;
  }
}

void ReplicaModel::injectFaults() {
  if (!isOut() && chance(12))
    addServer();
  if (!isOut() && chance(20))
    removeServer();
  if (!isOut() && m_OutUntil + Milliseconds(2'000) < m_Now && chance(6))
    beginOutage();
  if (m_WithRestores && !isOut() && chance(6))
    beginRestore();
  for (Vm &Each : m_Vms) {
    if (chance(4)) {
      Each.CutUntil = m_Now + Milliseconds(500 + draw(10'000));
      if (chance(500))
        Each.AloneUntil = Each.CutUntil;
    }
    if (chance(2))
      Each = Vm{.FaultEnd = m_Now};
  }
}

void ReplicaModel::readStore(Vm &By) {
  By.NextRead = m_Now + ReadInterval;
  if (isOut() || m_Now < By.CutUntil) {
    By.Cursor = StoreRevision(0);
    return;
  }
  By.Replicas.onStoreContact({.Since = m_Now, .Until = m_Now, .Era = m_Era},
                             m_Now);
  StoreRevision Now = read(m_Revision);
  if (By.Cursor.era() != m_Era)
    By.Cursor = StoreRevision();
  ReplicaList List{.AsOf = Now, .Replicas = {}};
  for (const Server &Each : m_Servers) {
    ReplicaRecord Record{.Id = Each.Id};
    if (By.Cursor == StoreRevision(0) && Each.IsStored)
      List.Replicas.push_back(
          {.Record = Record, .Revision = read(Each.Revision)});
    else if (By.Cursor != StoreRevision(0) && read(Each.Revision) > By.Cursor) {
      if (Each.IsStored)
        By.Replicas.put(Record, read(Each.Revision));
      else
        By.Replicas.remove({.Id = Each.Id, .Revision = read(Each.Revision)},
                           m_Now);
    }
  }
  if (By.Cursor == StoreRevision(0))
    By.Replicas.merge(List, m_Now);
  By.Replicas.advance(Now, m_Now);
  By.Replicas.confirm(m_Now);
  By.Cursor = Now;
}

void ReplicaModel::sendState(std::size_t From) {
  const ReplicaRegistry &Known = m_Vms[From].Replicas;
  Message Sent{.Due = m_Now + Milliseconds(draw(MaxDelay.count())),
               .To = static_cast<std::size_t>(draw(VmCount)),
               .List = {.AsOf = Known.asOf(), .Replicas = {}}};
  for (const auto &[Id, Each] : Known.entries())
    Sent.List.Replicas.push_back(Each);
  if (auto Latest = Known.contact().latest())
    Sent.Contact = ContactAge::of(*Latest, m_Now);
  m_Messages.push_back(Sent);
  if (chance(200))
    m_Messages.push_back(Sent);
}

void ReplicaModel::deliver() {
  std::vector<Message> Later;
  for (Message &Each : m_Messages) {
    if (m_Now < Each.Due) {
      Later.push_back(std::move(Each));
      continue;
    }
    if (m_Now < m_Vms[Each.To].AloneUntil)
      continue;
    ReplicaRegistry &To = m_Vms[Each.To].Replicas;
    if (Each.Contact)
      To.onStoreContact(Each.Contact->spanAt(m_Now), m_Now);
    if (Each.List.AsOf > StoreRevision(0))
      To.merge(Each.List, m_Now);
  }
  m_Messages = std::move(Later);
}

void ReplicaModel::noteDropped(Vm &Of) {
  for (const auto &[Id, Each] : Of.Replicas.entries())
    Of.Used.insert(Id);
  // A VM that never knew a server can't tell its copied entry from a new one.
  auto KnewIt = [&](const Server &Each) {
    return !m_WithRestores || Of.Used.contains(Each.Id);
  };
  for (const Server &Each : m_Servers)
    if (!Each.IsAlive && KnewIt(Each) && isInTouch(Of) &&
        Of.Replicas.asOf() >= read(Each.Revision) &&
        !Of.Replicas.entries().contains(Each.Id))
      Of.Dropped.insert(Each.Id);
}

void ReplicaModel::step(bool WithFaults) {
  m_Now += Step;
  if (WithFaults)
    injectFaults();
  if (!isOut())
    writeEntries();
  if (!isOut())
    keepCopy();
  for (Vm &Each : m_Vms)
    if (m_Now >= Each.NextRead)
      readStore(Each);
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    if (m_Now >= m_Vms[I].AloneUntil && chance(200))
      sendState(I);
  deliver();
  for (Vm &Each : m_Vms) {
    Each.Replicas.expire(m_Now);
    noteDropped(Each);
  }
}

} // namespace carawaypond::proof
