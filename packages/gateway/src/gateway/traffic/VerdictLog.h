#pragma once

#include "coordination/placement/ReplicaFleet.h"
#include "gateway/log/EventLog.h"

#include <unordered_map>

namespace carawaypond::gateway {

/// @brief Logs replicas whose health verdict has changed, or that have become
/// cold or warm where their service bounds the rate of cold ones.
///
/// A verdict is logged once several checks in a row have given it, so that a
/// short pause of a replica is not logged.
class VerdictLog {
public:
  explicit VerdictLog(EventLog &Log) : m_Log(Log) {}

  /// @return Number of cold replicas with a bound at the last check.
  [[nodiscard]] std::uint64_t rateBound() const { return m_RateBound; }

  /// @brief Checks the verdicts of all replicas.
  void check(const ReplicaFleet &Fleet, TimePoint Now);

private:
  struct Seen {
    ReplicaHealth Logged = ReplicaHealth::Well;
    ReplicaHealth Last = ReplicaHealth::Well;
    bool IsRateBound = false;
    unsigned Checks = 0;         ///< Consecutive checks that gave Last.
    std::uint64_t LastRound = 0; ///< Last round in which the replica was known.
  };

  void check(const ReplicaTracker &Gauge, const PlacementOptions &Options,
             TimePoint Now);
  void noteRateBound(const ReplicaTracker &Gauge, Seen &Known, TimePoint Now);

  EventLog &m_Log;
  std::uint64_t m_Round = 0;
  std::uint64_t m_RateBound = 0;
  std::unordered_map<ServerName, Seen> m_Seen;
};

} // namespace carawaypond::gateway
