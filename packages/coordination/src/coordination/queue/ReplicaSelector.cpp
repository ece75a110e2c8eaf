#include "coordination/queue/ReplicaSelector.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

bool contains(const std::vector<ServerName> &Servers, const ServerName &Name) {
  return std::find(Servers.begin(), Servers.end(), Name) != Servers.end();
}

int rankOf(Serves Known) {
  if (Known == Serves::Yes)
    return 0;
  return Known == Serves::Unknown ? 1 : 2;
}

} // namespace

ReplicaSelector::ReplicaSelector(std::vector<ServerName> Replicas,
                                 const ServerSlots &Slots,
                                 const ReplicaScores &Scores,
                                 const ReplicaVersionTracker &Versions)
    : m_Replicas(std::move(Replicas)), m_Slots(Slots), m_Scores(Scores),
      m_Versions(Versions) {}

std::uint32_t ReplicaSelector::usableSlots() const {
  std::uint32_t Slots = 0;
  for (const ServerName &Server : m_Replicas)
    if (m_Slots.stateOf(Server) == ServerState::Up)
      Slots += m_Slots.slots(Server);
  return Slots;
}

bool ReplicaSelector::hasFreeSlot() const {
  return std::any_of(
      m_Replicas.begin(), m_Replicas.end(),
      [&](const ServerName &Server) { return m_Slots.hasFree(Server); });
}

bool ReplicaSelector::hasCandidate(const internal::QueueEntry &E) const {
  return std::any_of(
      m_Replicas.begin(), m_Replicas.end(),
      [&](const ServerName &Server) { return isEligible(E, Server); });
}

bool ReplicaSelector::isEligible(const internal::QueueEntry &E,
                                 const ServerName &Server) const {
  return m_Slots.stateOf(Server) == ServerState::Up &&
         !contains(E.Tried, Server);
}

/// @return The eligible replicas of the best rank: those known to serve the
/// entry's version, else those for which this is unknown, else the others. Free
/// slots are not considered.
std::vector<const ServerName *>
ReplicaSelector::candidates(const internal::QueueEntry &E) const {
  constexpr int WorstRank = 3;
  std::vector<const ServerName *> Best;
  Best.reserve(m_Replicas.size());
  int BestRank = WorstRank;
  for (const ServerName &Server : m_Replicas) {
    if (!isEligible(E, Server))
      continue;
    int Rank = rankOf(m_Versions.serves(Server, E.Request.Shard,
                                        E.Request.Layout, E.Request.Version));
    if (Rank > BestRank)
      continue;
    if (Rank < BestRank)
      Best.clear();
    BestRank = Rank;
    Best.push_back(&Server);
  }
  return Best;
}

std::optional<ServerName>
ReplicaSelector::selectFree(const internal::QueueEntry &E,
                            TimePoint Now) const {
  const ServerName *Chosen = nullptr;
  Duration Least = Duration::max();
  for (const ServerName *Server : candidates(E)) {
    if (!m_Slots.hasFree(*Server))
      continue;
    Duration Expected = m_Scores.expected(*Server, Now) *
                        (m_Slots.inUse(*Server) + 1) / m_Slots.slots(*Server);
    if (Expected >= Least)
      continue;
    Least = Expected;
    Chosen = Server;
  }
  if (Chosen == nullptr)
    return std::nullopt;
  return *Chosen;
}

void ReplicaSelector::setReplicas(std::vector<ServerName> Replicas) {
  m_Replicas = std::move(Replicas);
}

} // namespace carawaypond
