#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <unordered_map>

namespace carawaypond {

/// @brief What each backend server can be expected to cost, from its own
/// recent latencies and refusals. Its health endpoint lags and may mislead, so
/// it counts only while the server has shown nothing recent itself.
class ReplicaScores {
public:
  /// @return The latency to expect from @p Server, refusals included; less is
  /// better.
  [[nodiscard]] Duration expected(const ServerName &Server,
                                  TimePoint Now) const;

  /// @brief Notes an answer, or the time that a loser had taken so far.
  void noteLatency(const ServerName &Server, Duration Latency, TimePoint Now);
  /// @brief Notes a refusal or a lost subrequest.
  void noteRefusal(const ServerName &Server, TimePoint Now);
  /// @brief Notes what the health endpoint says.
  void noteHealth(const ServerName &Server, bool Healthy, double Load,
                  TimePoint Now);

private:
  struct Score {
    double LatencyMicros = 0;
    double PenaltyMicros = 0;
    double HealthMicros = 0;
    TimePoint SeenAt{}; ///< Of its own latencies and refusals.
    bool Seen = false;
  };

  std::unordered_map<ServerName, Score> m_Scores;
};

} // namespace carawaypond
