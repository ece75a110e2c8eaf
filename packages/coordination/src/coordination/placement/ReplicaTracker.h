#pragma once

#include "coordination/placement/AttemptResult.h"
#include "coordination/placement/PlacementOptions.h"
#include "coordination/placement/ReplicaHealth.h"
#include "coordination/placement/ReplicaNotices.h"
#include "coordination/placement/SlowReports.h"
#include "coordination/placement/WarmupBudget.h"
#include "coordination/replicas/ReplicaRecord.h"
#include "coordination/routing/ReplicaLimits.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Tracks the answers of one replica to this VM, and derives the cost of
/// sending to it.
class ReplicaTracker {
public:
  ReplicaTracker(ReplicaRecord Record, TimePoint Now);

  [[nodiscard]] const ReplicaRecord &record() const { return m_Record; }
  [[nodiscard]] std::size_t outstanding() const { return m_Pending.size(); }
  /// @return Whether its data centre is evacuated.
  [[nodiscard]] bool isEvacuated() const { return m_IsEvacuated; }
  /// @return The part of its usual share that it may get, from 0 to 1. It grows
  /// after an evacuation, during which the replica may have become cold.
  [[nodiscard]] double returnedShare(const PlacementOptions &Options,
                                     TimePoint Now) const;
  /// @return Whether it may get requests, apart from a limit that it names.
  [[nodiscard]] bool isUsable(TimePoint Now) const;
  /// @return Whether it may get another request now.
  [[nodiscard]] bool acceptsRequest(TimePoint Now) const {
    return isUsable(Now) && hasRoom(Now);
  }
  /// @return Whether its limits leave this VM a request now, and @p Reserve
  /// more.
  [[nodiscard]] bool hasRoom(TimePoint Now, double Reserve = 0) const {
    return m_Notices.hasRoom(Now, Reserve) && m_Warmup.hasRoom(Now, Reserve);
  }
  /// @return How long until its pause and its limits allow a request.
  [[nodiscard]] Duration untilAllowed(TimePoint Now) const;
  /// @return Whether it is cold and its rate bounded.
  [[nodiscard]] bool isRateBound(TimePoint Now) const {
    return m_Warmup.isActive(Now);
  }
  /// @return Whether a request has been outstanding for longer than is normal,
  /// and the replica has answered nothing in that time.
  [[nodiscard]] bool isStalled(const PlacementOptions &Options,
                               TimePoint Now) const;
  /// @return The ratio of its recent latencies to the expected ones.
  [[nodiscard]] double slowness(const PlacementOptions &Options,
                                TimePoint Now) const;
  /// @return How long a request sent now waits at least behind this VM's other
  /// requests.
  /// @param Expected The normal latency of such a request.
  [[nodiscard]] Duration expectedWait(Duration Expected,
                                      const PlacementOptions &Options,
                                      TimePoint Now) const;
  /// @return What it has said about itself in its answers.
  [[nodiscard]] const ReplicaNotices &notices() const { return m_Notices; }
  /// @return The share of recent requests that failed.
  [[nodiscard]] double failureRate() const { return m_FailureRate; }
  [[nodiscard]] ReplicaHealth verdict(const PlacementOptions &Options,
                                      TimePoint Now) const;
  /// @return The slow answers that VMs report, this one among them.
  [[nodiscard]] const SlowReports &slowReports() const { return m_Reports; }
  /// @return When this VM got its last slow answer; nothing if it got none or
  /// does not report them.
  [[nodiscard]] std::optional<TimePoint> lastSlowAnswer() const {
    return m_LastSlowAnswer;
  }
  /// @return The cost of sending a request to it; smaller is better.
  [[nodiscard]] double cost(const PlacementOptions &Options,
                            TimePoint Now) const;

  void update(ReplicaRecord Record, TimePoint Now);
  /// @brief Bounds the rate of requests to it while it is cold.
  /// @param Of The limits of its service.
  /// @param Own This VM's share of what all VMs may send to it.
  void limitWarmup(const ReplicaLimits &Of, const LimitShare &Own,
                   TimePoint Now);
  /// @brief Begins or ends the evacuation of its data centre.
  void setEvacuated(bool IsEvacuated, TimePoint Now);
  /// @brief Applies a changed share of what all VMs may send to it.
  void setShare(const LimitShare &Own, TimePoint Now) {
    m_Notices.setShare(Own, Now);
  }
  /// @brief Takes in what it says about itself in an answer.
  /// @param Own This VM's share of what all VMs may send to it.
  /// @return Whether that changes when it may get requests.
  bool onNotice(const ReplicaNotice &Told, const LimitShare &Own,
                TimePoint Now);
  /// @brief Restores what the same incarnation has said before.
  void restore(const ReplicaNotices &Said) { m_Notices = Said; }
  /// @brief Takes in that another VM got a slow answer at @p At.
  void onSlowAnswer(const VmName &From, TimePoint At,
                    const PlacementOptions &Options, TimePoint Now);
  /// @param Expected The normal latency of such a request.
  void onSent(SubrequestId Id, Duration Expected, TimePoint Now);
  /// @return The latency if the request was served and the replica is not slow.
  std::optional<Duration> onEnded(SubrequestId Id, AttemptResult How,
                                  const PlacementOptions &Options,
                                  TimePoint Now);

private:
  struct Pending {
    SubrequestId Id;
    TimePoint SentAt;
    Duration Expected{};
  };

  void recordSlowness(double Ratio, const PlacementOptions &Options,
                      TimePoint Now);
  void recordFailure(double Sample);
  void recordSlowAnswer(double Ratio, const PlacementOptions &Options,
                        TimePoint Now);
  void recordRefusal(const PlacementOptions &Options, TimePoint Now);

  ReplicaRecord m_Record;
  ReplicaNotices m_Notices;
  WarmupBudget m_Warmup;
  TimePoint m_WarmupReportedAt; ///< When the record's WarmupLeft was reported.
  std::vector<Pending> m_Pending;
  TimePoint m_LastAnswer;
  double m_Slowness = 1;
  TimePoint m_SlownessAt;
  SlowReports m_Reports;
  std::optional<TimePoint> m_LastSlowAnswer;
  double m_FailureRate = 0;
  unsigned m_RefusalSeries = 0;
  TimePoint m_RefusedUntil;
  TimePoint m_MisplacedUntil;
  bool m_IsEvacuated = false;
  std::optional<TimePoint> m_ReturnedAt; ///< End of the last evacuation.
};

} // namespace carawaypond
