#pragma once

#include "coordination/placement/ReplicaFleet.h"
#include "gateway/log/EventLog.h"

#include <unordered_map>

namespace carawaypond::gateway {

/// @brief Logs replicas that are judged otherwise than before.
///
/// A verdict counts once several looks in a row have seen it, so that a short
/// pause of a replica gives no line.
class VerdictLog {
public:
  explicit VerdictLog(EventLog &Log) : m_Log(Log) {}

  /// @brief Looks at all replicas.
  void look(const ReplicaFleet &Fleet, TimePoint Now);

private:
  struct Seen {
    ReplicaVerdict Logged = ReplicaVerdict::Well;
    ReplicaVerdict Last = ReplicaVerdict::Well;
    unsigned Looks = 0;          ///< With the last verdict, in a row.
    std::uint64_t LastRound = 0; ///< In which the replica was known.
  };

  void look(const ReplicaGauge &Gauge, const PlacementOptions &Options,
            TimePoint Now);

  EventLog &m_Log;
  std::uint64_t m_Round = 0;
  std::unordered_map<ServerName, Seen> m_Seen;
};

} // namespace carawaypond::gateway
