#pragma once

#include "coordination/admission/AdmissionControl.h"
#include "coordination/budget/ExtraLoadBudget.h"
#include "coordination/latency/LatencyTracker.h"
#include "coordination/queue/OwnerQueues.h"
#include "coordination/snapshot/SnapshotPinner.h"
#include "daemon/settings/Settings.h"
#include "daemon/view/ControlView.h"

#include <memory>

namespace carawaypond::daemon {

/// @brief The state of one service on one traffic thread: admission control,
/// snapshots, extra-load budget and the latencies of other VMs.
class ServiceRuntime {
public:
  ServiceRuntime(const ServiceView &View, const PolicySettings &Policy);

  [[nodiscard]] const ServiceConfig &config() const {
    return m_Stored->Content;
  }
  [[nodiscard]] const IndexObject &index() const { return m_Pinner.index(); }
  [[nodiscard]] AdmissionControl &admission() { return m_Admission; }
  [[nodiscard]] SnapshotPinner &pinner() { return m_Pinner; }
  /// @brief The extra-load budget of the queries that this VM coordinates.
  [[nodiscard]] ExtraLoadBudget &coordinatorBudget() {
    return m_CoordinatorBudget;
  }
  /// @brief How long other VMs take to report on subrequests.
  [[nodiscard]] LatencyTracker &forwarded() { return m_Forwarded; }
  /// @return The options of the queues that this VM owns.
  [[nodiscard]] ServiceQueueOptions
  queueOptions(const PolicySettings &Policy) const;

  /// @brief Applies a new configuration or index.
  void apply(const ServiceView &View, const PolicySettings &Policy);

private:
  std::shared_ptr<const StoredService> m_Stored;
  AdmissionControl m_Admission;
  SnapshotPinner m_Pinner;
  ExtraLoadBudget m_CoordinatorBudget;
  LatencyTracker m_Forwarded;
};

} // namespace carawaypond::daemon
