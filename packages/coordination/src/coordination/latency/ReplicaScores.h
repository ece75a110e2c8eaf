#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <unordered_map>

namespace carawaypond {

/// @brief Expected latency of each backend server, from its recent latencies
/// and refusals. The health endpoint lags and may be wrong, so it counts only
/// while there are no recent latencies or refusals.
class ReplicaScores {
public:
  /// @return The expected latency of @p Server, with a penalty for refusals;
  /// less is better.
  [[nodiscard]] Duration expected(const ServerName &Server,
                                  TimePoint Now) const;

  /// @brief Records the latency of an answer, or the time that a hedge's losing
  /// attempt had taken so far.
  void noteLatency(const ServerName &Server, Duration Latency, TimePoint Now);
  /// @brief Records a refusal or a lost subrequest.
  void noteRefusal(const ServerName &Server, TimePoint Now);
  /// @brief Records the state that the health endpoint reports.
  void noteHealth(const ServerName &Server, bool Healthy, double Load,
                  TimePoint Now);

private:
  struct Score {
    double LatencyMicros = 0;
    double PenaltyMicros = 0;
    double HealthMicros = 0;
    TimePoint SeenAt{}; ///< Time of the latest latency or refusal.
    bool Seen = false;
  };

  std::unordered_map<ServerName, Score> m_Scores;
};

} // namespace carawaypond
