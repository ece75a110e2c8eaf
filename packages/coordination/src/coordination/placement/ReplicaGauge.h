#pragma once

#include "coordination/placement/AttemptResult.h"
#include "coordination/placement/PlacementOptions.h"
#include "coordination/placement/ReplicaVerdict.h"
#include "coordination/replicas/ReplicaRecord.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

/// @brief What this VM has seen of one replica, and what follows for sending
/// there.
class ReplicaGauge {
public:
  ReplicaGauge(ReplicaRecord Record, TimePoint Now);

  [[nodiscard]] const ReplicaRecord &record() const { return m_Record; }
  [[nodiscard]] std::size_t outstanding() const { return m_Pending.size(); }
  /// @return Whether it may get requests at all.
  [[nodiscard]] bool isUsable(TimePoint Now) const;
  /// @return Whether it owes an answer for longer than is normal, and has
  /// answered nothing since.
  [[nodiscard]] bool isStalled(const PlacementOptions &Options,
                               TimePoint Now) const;
  /// @return How many times slower than normal its answers are.
  [[nodiscard]] double slowness(const PlacementOptions &Options,
                                TimePoint Now) const;
  /// @return How long a request sent now waits behind this VM's own ones, at
  /// least.
  /// @param Expected The normal latency of such a request.
  [[nodiscard]] Duration expectedWait(Duration Expected,
                                      const PlacementOptions &Options,
                                      TimePoint Now) const;
  /// @return The share of requests that fail, by recent ones.
  [[nodiscard]] double failureRate() const { return m_FailureRate; }
  [[nodiscard]] ReplicaVerdict verdict(const PlacementOptions &Options,
                                       TimePoint Now) const;
  /// @return The cost of sending there; smaller is better.
  [[nodiscard]] double cost(const PlacementOptions &Options,
                            TimePoint Now) const;

  void update(ReplicaRecord Record, TimePoint Now);
  /// @param Expected The normal latency of such a request.
  void onSent(SubrequestId Id, Duration Expected, TimePoint Now);
  /// @return The latency if the replica was well and answered.
  std::optional<Duration> onEnded(SubrequestId Id, AttemptResult How,
                                  const PlacementOptions &Options,
                                  TimePoint Now);

private:
  struct Pending {
    SubrequestId Id;
    TimePoint SentAt;
    Duration Expected{};
  };

  void learnSlowness(double Ratio, const PlacementOptions &Options,
                     TimePoint Now);
  void learnFailure(double Sample);
  void learnRefusal(const PlacementOptions &Options, TimePoint Now);

  ReplicaRecord m_Record;
  TimePoint m_WarmupKnownAt; ///< When the record's warm-up was told.
  std::vector<Pending> m_Pending;
  TimePoint m_LastAnswer;
  double m_Slowness = 1;
  TimePoint m_SlownessAt;
  double m_FailureRate = 0;
  unsigned m_RefusalSeries = 0;
  TimePoint m_RefusedUntil;
  TimePoint m_MisplacedUntil;
};

} // namespace carawaypond
