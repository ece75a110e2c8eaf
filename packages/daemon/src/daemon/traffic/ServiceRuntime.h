#pragma once

#include "coordination/admission/AdmissionControl.h"
#include "coordination/budget/ExtraLoadBudget.h"
#include "coordination/latency/LatencyTracker.h"
#include "coordination/queue/ClassScheduler.h"
#include "coordination/snapshot/SnapshotPinner.h"
#include "daemon/settings/Settings.h"
#include "daemon/view/ControlView.h"

#include <memory>
#include <vector>

namespace carawaypond::daemon {

/// @brief What one traffic thread keeps for one service: its admission,
/// its snapshots, its extra-load budgets and its latencies.
class ServiceRuntime {
public:
  ServiceRuntime(const ServiceView &View, const PolicySettings &Policy);

  [[nodiscard]] const ServiceConfig &config() const {
    return m_Stored->Content;
  }
  [[nodiscard]] const IndexObject &index() const { return m_Pinner.index(); }
  [[nodiscard]] AdmissionControl &admission() { return m_Admission; }
  [[nodiscard]] SnapshotPinner &pinner() { return m_Pinner; }
  /// @brief The budget of this VM's queries, as their coordinator.
  [[nodiscard]] ExtraLoadBudget &coordinatorBudget() {
    return m_CoordinatorBudget;
  }
  /// @brief The budget of the subrequests that this VM sends as an owner.
  [[nodiscard]] ExtraLoadBudget &ownerBudget() { return m_OwnerBudget; }
  [[nodiscard]] LatencyTracker &latencies() { return m_Latencies; }
  /// @return The classes' shares of the slots.
  [[nodiscard]] std::vector<ClassShare> shares() const;

  /// @brief Follows a new configuration or index.
  void apply(const ServiceView &View, const PolicySettings &Policy);

private:
  std::shared_ptr<const StoredService> m_Stored;
  AdmissionControl m_Admission;
  SnapshotPinner m_Pinner;
  ExtraLoadBudget m_CoordinatorBudget;
  ExtraLoadBudget m_OwnerBudget;
  LatencyTracker m_Latencies;
};

} // namespace carawaypond::daemon
