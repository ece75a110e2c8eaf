#pragma once

#include "coordination/latency/ReplicaScores.h"
#include "coordination/queue/QueueEntry.h"
#include "coordination/queue/ServerSlots.h"
#include "coordination/snapshot/VersionBoard.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Chooses the replica for a subrequest: one that serves its version
/// goes before one that may, then the one that costs the least counts.
class ReplicaChoice {
public:
  ReplicaChoice(std::vector<ServerName> Replicas, const ServerSlots &Slots,
                const ReplicaScores &Scores, const VersionBoard &Versions);

  [[nodiscard]] std::size_t replicaCount() const { return m_Replicas.size(); }
  /// @return The slots of all replicas that are up.
  [[nodiscard]] std::uint32_t usableSlots() const;
  [[nodiscard]] bool hasFreeSlot() const;
  /// @return Whether some replica may get the entry, now or once it has a slot.
  [[nodiscard]] bool anyCandidate(const internal::QueueEntry &E) const;
  /// @return The replica to send the entry to now.
  [[nodiscard]] std::optional<ServerName>
  chooseFree(const internal::QueueEntry &E, TimePoint Now) const;

  void setReplicas(std::vector<ServerName> Replicas);

private:
  [[nodiscard]] bool mayGet(const internal::QueueEntry &E,
                            const ServerName &Server) const;
  [[nodiscard]] std::vector<const ServerName *>
  candidates(const internal::QueueEntry &E) const;

  std::vector<ServerName> m_Replicas;
  const ServerSlots &m_Slots;
  const ReplicaScores &m_Scores;
  const VersionBoard &m_Versions;
};

} // namespace carawaypond
