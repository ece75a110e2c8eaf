#pragma once

#include "coordination/latency/ReplicaScores.h"
#include "coordination/queue/QueueEntry.h"
#include "coordination/queue/ServerSlots.h"
#include "coordination/snapshot/ReplicaVersionTracker.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Selects the replica for a subrequest. Replicas known to serve its
/// version are preferred to those for which this is unknown; among equals the
/// one with the least expected latency is selected.
class ReplicaSelector {
public:
  ReplicaSelector(std::vector<ServerName> Replicas, const ServerSlots &Slots,
                  const ReplicaScores &Scores,
                  const ReplicaVersionTracker &Versions);

  [[nodiscard]] std::size_t replicaCount() const { return m_Replicas.size(); }
  /// @return The number of slots, used ones included, of all replicas that are
  /// up.
  [[nodiscard]] std::uint32_t usableSlots() const;
  [[nodiscard]] bool hasFreeSlot() const;
  /// @return Whether the entry can be sent to a replica, now or when a slot is
  /// freed.
  [[nodiscard]] bool hasCandidate(const internal::QueueEntry &E) const;
  /// @return The replica to send the entry to now; nothing if none of the best
  /// candidates has a free slot.
  [[nodiscard]] std::optional<ServerName>
  selectFree(const internal::QueueEntry &E, TimePoint Now) const;

  void setReplicas(std::vector<ServerName> Replicas);

private:
  [[nodiscard]] bool isEligible(const internal::QueueEntry &E,
                                const ServerName &Server) const;
  [[nodiscard]] std::vector<const ServerName *>
  candidates(const internal::QueueEntry &E) const;

  std::vector<ServerName> m_Replicas;
  const ServerSlots &m_Slots;
  const ReplicaScores &m_Scores;
  const ReplicaVersionTracker &m_Versions;
};

} // namespace carawaypond
