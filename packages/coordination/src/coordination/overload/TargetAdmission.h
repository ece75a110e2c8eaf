#pragma once

#include "coordination/overload/AdmissionDecision.h"
#include "coordination/overload/AdmissionQueue.h"
#include "coordination/overload/AdmissionRate.h"
#include "coordination/overload/AdmissionRequest.h"

#include <cstdint>
#include <unordered_set>

namespace carawaypond {

/// @brief Decides which requests for one set of replicas start, wait or are
/// refused.
///
/// A request waits only if it is expected to start in time. A more urgent one
/// that arrives later starts before it; if it then can't start in time, it is
/// refused at once.
class TargetAdmission {
public:
  [[nodiscard]] const AdmissionRate &rate() const { return m_Rate; }
  /// @return When decide() is due for a waiting request.
  [[nodiscard]] TimePoint nextDecision(TimePoint Now) const;

  /// @brief See AdmissionRate::setFleetDemandHigh().
  void setFleetDemandHigh(bool IsHigh) { m_Rate.setFleetDemandHigh(IsHigh); }
  /// @brief Decides on a request that arrives.
  AdmissionTicket ask(const AdmissionRequest &Request, TimePoint Now);
  /// @brief Decides again on a waiting request. A decision other than Waiting
  /// is given once.
  AdmissionDecision decide(std::uint64_t Number, TimePoint Now);
  /// @brief Counts the end of a request that was started.
  /// @param Sample Null if the caller has disconnected.
  void onEnded(const WorkspaceName &Of, const LoadSample *Sample,
               TimePoint Now);
  /// @brief Ends the limit if it is due.
  void update(TimePoint Now) { m_Rate.update(Now); }

private:
  /// @brief Starts the waiting requests that may start now, and refuses those
  /// that can't start in time.
  void settle(TimePoint Now);
  void start(const AdmissionQueue::Entry &Waiting, TimePoint Now);

  AdmissionRate m_Rate;
  AdmissionQueue m_Queue;
  std::unordered_set<std::uint64_t> m_Started; ///< Not yet told by decide().
  std::uint64_t m_NextNumber = 1;
};

} // namespace carawaypond
