#pragma once

#include "coordination/budget/ArrivalBudget.h"
#include "coordination/placement/PlacementOptions.h"
#include "coordination/placement/ReplicaTracker.h"
#include "coordination/placement/ShareBound.h"
#include "core/id/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief The replicas of one service, and its budget for hedges and retries.
class ServiceFleet {
public:
  explicit ServiceFleet(const PlacementOptions &Options)
      : m_Budget(Options.Budget, Options.StartedAt),
        m_Rotation(Options.RotationSeed) {}

  [[nodiscard]] bool isEmpty() const { return m_Replicas.empty(); }
  [[nodiscard]] const std::map<ServerName, ReplicaTracker> &replicas() const {
    return m_Replicas;
  }
  /// @return The gauge of @p Id, or null.
  [[nodiscard]] ReplicaTracker *find(const ServerName &Id);
  [[nodiscard]] ArrivalBudget &budget() { return m_Budget; }
  /// @return The replica of the least cost that may get a request now and is
  /// not in @p Excluded, or null. Where shares are bounded and nothing is
  /// excluded, the cheapest of those within their share.
  [[nodiscard]] ReplicaTracker *
  cheapest(const std::vector<ServerName> &Excluded,
           const PlacementOptions &Options, TimePoint Now);
  /// @brief Counts a request that is about to be sent to @p To against its
  /// share, if shares are bounded.
  void countSent(const ReplicaTracker &To, const PlacementOptions &Options,
                 TimePoint Now);

  /// @return How long until the first of the replicas that pause, or whose
  /// limit is reached, may get a request; nothing if there is none of these.
  [[nodiscard]] std::optional<Duration> leastPause(TimePoint Now) const;

  void put(const ReplicaRecord &Record, TimePoint Now);
  void erase(const ServerName &Id) {
    m_Replicas.erase(Id);
    m_Shares.erase(Id);
  }

private:
  /// @brief Removes the replicas whose evacuation ended lately from a part of
  /// the choices, if there are others, so that their share grows gradually.
  void omitReturning(std::vector<ReplicaTracker *> &Usable,
                     const PlacementOptions &Options, TimePoint Now);

  /// @brief Removes the replicas that are not comparable with the cheapest, and
  /// those that have had their share unless that leaves none.
  void omitBeyondShare(std::vector<ReplicaTracker *> &Usable,
                       const PlacementOptions &Options, TimePoint Now) const;

  std::map<ServerName, ReplicaTracker> m_Replicas;
  ShareBound m_Shares;
  ArrivalBudget m_Budget;
  std::size_t m_Rotation; ///< Rotates replicas of equal cost.
  /// Choices due to include the replicas whose evacuation ended lately.
  double m_ReturnCredit = 0;
};

} // namespace carawaypond
