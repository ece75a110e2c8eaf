#pragma once

#include "coordination/fleet/VmBoard.h"
#include "coordination/replicas/ReplicaBook.h"
#include "coordination/routing/RoutingTable.h"
#include "gateway/control/ChangeSignal.h"
#include "gateway/control/ReplicaChanges.h"
#include "gateway/log/EventLog.h"
#include "gateway/traffic/TrafficView.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace carawaypond::gateway {

/// Names the store as the source of what a log line tells.
inline constexpr std::string_view StoreSource = "store";

/// @brief What this VM knows of the configuration, the replicas and the other
/// VMs. Belongs to the control thread.
class FleetState {
public:
  using Publish = std::function<void(std::shared_ptr<const TrafficView>)>;
  using OwnLoad = std::function<VmLoad()>;

  /// @param Load Gives this VM's load.
  /// @param OnChange Gets a new view whenever traffic has to know.
  /// @param Doubts How long missing entries are still believed.
  FleetState(VmName Self, ReplicaBookOptions Doubts, EventLog &Log,
             OwnLoad Load, Publish OnChange);

  [[nodiscard]] const std::shared_ptr<const RoutingTable> &table() const {
    return m_Table;
  }
  /// @return The configuration as the store holds it.
  [[nodiscard]] const nlohmann::json &configDocument() const {
    return m_ConfigDocument;
  }
  [[nodiscard]] std::uint64_t configVersion() const;
  /// @return The store's revision up to which the replicas are known.
  [[nodiscard]] std::uint64_t replicaRevision() const {
    return m_ReplicaRevision;
  }
  /// @return How long ago the replicas were known to be as in the store; since
  /// the start if never.
  [[nodiscard]] Milliseconds replicaAge() const;
  /// @return Like it, for the configuration.
  [[nodiscard]] Milliseconds configAge() const;
  /// @return The greater one of the two.
  [[nodiscard]] Milliseconds age() const {
    return std::max(replicaAge(), configAge());
  }
  [[nodiscard]] const ReplicaBook &replicas() const { return m_Book; }
  [[nodiscard]] const VmBoard &vms() const { return m_Vms; }
  /// @return How many views were published.
  [[nodiscard]] std::uint64_t changes() const { return m_Changes; }
  /// @return Whether the list of replicas was ever read.
  [[nodiscard]] bool hasReplicas() const { return m_HasReplicas; }
  /// @return Whether requests can be served.
  [[nodiscard]] bool isReady() const { return m_Table && m_HasReplicas; }

  /// @brief Takes a configuration unless it is older than the one in force.
  /// @param Source Where it came from, for the log.
  void applyConfig(const nlohmann::json &Document, std::string_view Source);
  void replaceReplicas(std::vector<ReplicaRecord> Listed,
                       std::uint64_t Revision, std::string_view Source);
  void putReplica(ReplicaRecord Record);
  void removeReplica(const ServerName &Id);
  void setReplicaRevision(std::uint64_t Revision) {
    m_ReplicaRevision = Revision;
  }
  /// @brief The replicas were as known here in the store at @p At.
  void confirmReplicas(TimePoint At);
  /// @brief The configuration was as known here in the store at @p At.
  void confirmConfig(TimePoint At);
  /// @brief The store answered at @p At, this VM or one that it follows.
  void onStoreAnswered(TimePoint At);
  /// @brief Lets those who follow this VM know that it lost the store.
  void onStoreLost() { m_Signal.notify(); }
  /// @brief Takes a heartbeat.
  /// @return Whether its sender is new.
  bool onBeat(const LoadedVm &Vm);
  void onVmRecord(const VmRecord &Record);
  /// @brief Takes a VM that another one has heard just now.
  void onRelayed(const LoadedVm &Vm);
  /// @brief Looks at what time has changed.
  void tick();
  /// @brief Publishes changes that have piled up.
  void publish();
  /// @brief Takes changes that another VM published.
  void applyChanges(std::vector<ReplicaRecord> Put,
                    const std::vector<ServerName> &Gone,
                    std::uint64_t Revision);
  /// @return Tells when something was published.
  [[nodiscard]] ChangeSignal &signal() { return m_Signal; }
  [[nodiscard]] const ReplicaChanges &replicaChanges() const {
    return m_ReplicaChanges;
  }

private:
  /// @brief Tells which replicas get nothing any more since the change
  /// @p Sequence.
  void logLeft(std::uint64_t Sequence);
  void logMissing(const std::map<ServerName, TimePoint> &Before);

  EventLog &m_Log;
  Publish m_OnChange;
  std::shared_ptr<const RoutingTable> m_Table;
  nlohmann::json m_ConfigDocument;
  ReplicaBook m_Book;
  std::uint64_t m_ReplicaRevision = 0;
  TimePoint m_ReplicasConfirmedAt = monotonicNow();
  TimePoint m_ConfigConfirmedAt = monotonicNow();
  VmBoard m_Vms;
  OwnLoad m_OwnLoad;
  double m_Share = 1;
  ReplicaChanges m_ReplicaChanges;
  ChangeSignal m_Signal;
  std::uint64_t m_Changes = 0;
  bool m_HasReplicas = false;
  bool m_IsDirty = false;
};

} // namespace carawaypond::gateway
