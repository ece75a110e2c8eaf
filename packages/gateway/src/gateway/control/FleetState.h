#pragma once

#include "coordination/evacuation/EvacuationRegistry.h"
#include "coordination/fleet/VmTracker.h"
#include "coordination/replicas/ContactAge.h"
#include "coordination/replicas/ReplicaRegistry.h"
#include "coordination/revocation/ConfigProof.h"
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

/// Value of the log field "source" for data that was read from the store.
inline constexpr std::string_view StoreSource = "store";
/// Value of that field for data that another VM sent.
inline constexpr std::string_view PeerSource = "peer";
/// Value of that field for data of the VM that this one follows.
inline constexpr std::string_view ReaderSource = "reader";

/// @brief This VM's copy of the configuration, the replica list and the
/// registry of VMs. Used by the control thread only.
class FleetState {
public:
  using Publish = std::function<void(std::shared_ptr<const TrafficView>)>;
  using OwnLoad = std::function<VmLoad()>;
  using OnProof = std::function<void(BootTime)>;

  /// @param BookOptions How long replicas that are missing from the store are
  /// kept.
  /// @param Load Returns this VM's load.
  /// @param OnChange Called with a new view after each change that the traffic
  /// thread needs.
  /// @param VmOptions How long silent VMs are used.
  FleetState(VmName Self, ReplicaRegistryOptions BookOptions, EventLog &Log,
             OwnLoad Load, Publish OnChange, VmTrackerOptions VmOptions = {});

  [[nodiscard]] const std::shared_ptr<const RoutingTable> &table() const {
    return m_Table;
  }
  /// @return The configuration as the JSON document that the store holds.
  [[nodiscard]] const nlohmann::json &configDocument() const {
    return m_ConfigDocument;
  }
  [[nodiscard]] std::uint64_t configVersion() const;
  /// @return The store revision as of which the replica list is complete.
  [[nodiscard]] StoreRevision replicaRevision() const { return m_Book.asOf(); }
  /// @return How long ago the store first and last answered any VM in the
  /// latest period without an outage; std::nullopt if it never did.
  [[nodiscard]] std::optional<ContactAge> storeContact() const;
  /// @return Time since the replica list was last known to match the store, or
  /// since the start if it never was.
  [[nodiscard]] Milliseconds replicaAge() const;
  /// @return Time since the configuration was last known to match the store, or
  /// since the start if it never was.
  [[nodiscard]] Milliseconds configAge() const;
  /// @return Time since the configuration in force was last proved to be the
  /// newest one; nothing if it never was.
  [[nodiscard]] std::optional<Milliseconds> configProofAge() const;
  /// @return Time since the evacuations were last known to match the store, or
  /// since the start if they never were.
  [[nodiscard]] Milliseconds evacuationAge() const;
  /// @return The greatest age of what this VM follows.
  [[nodiscard]] Milliseconds age() const;
  [[nodiscard]] const EvacuationRegistry &evacuations() const {
    return m_Evacuations;
  }
  /// @return Number of changes of the evacuations that this VM has seen; 0 if
  /// they were never read.
  [[nodiscard]] std::uint64_t evacuationSequence() const {
    return m_EvacuationSequence;
  }
  [[nodiscard]] bool followsEvacuations() const { return m_FollowsEvacuations; }
  /// @return Whether this VM must know the evacuations and never read them.
  [[nodiscard]] bool lacksEvacuations() const {
    return m_FollowsEvacuations && m_EvacuationSequence == 0;
  }
  [[nodiscard]] const ReplicaRegistry &replicas() const { return m_Book; }
  [[nodiscard]] const VmTracker &vms() const { return m_Vms; }
  /// @return The number of views published so far.
  [[nodiscard]] std::uint64_t changes() const { return m_Changes; }
  /// @return The latest known era of the store.
  [[nodiscard]] StoreEra storeEra() const { return m_Era; }
  /// @return Number of objects in the store's answers that were left out
  /// because they could not be read.
  [[nodiscard]] std::uint64_t unreadable() const { return m_Unreadable; }
  /// @return Whether the replica list has been read at least once.
  [[nodiscard]] bool hasReplicas() const { return m_HasReplicas; }
  /// @return Whether requests can be served.
  [[nodiscard]] bool isReady() const {
    return m_Table && m_HasReplicas && !lacksEvacuations();
  }

  /// @brief Records that the store is asked for its configuration, which it may
  /// lack.
  void beginConfigList() { m_StoreConfigVersion = 0; }
  /// @brief Applies a configuration if it is newer than the one in force.
  /// @param Source Where it came from.
  /// @return Whether it can be decoded. If not, a proof that came with it does
  /// not hold for the configuration in force.
  bool applyConfig(const nlohmann::json &Document, std::string_view Source);
  /// @brief Merges a list of replicas that this or another VM read.
  /// @param Source Where it came from, for the log.
  void mergeReplicas(const ReplicaList &List, std::string_view Source);
  /// @brief Merges the changes of the VM that this one follows.
  /// @return Whether this VM now knows all that the other one knows; if not, it
  /// needs the whole list.
  bool mergeReplicas(const ReplicaDelta &Delta, std::string_view Source);
  /// @brief Applies a change of one entry, which was read from the store.
  void putReplica(ReplicaRecord Record, StoreRevision Revision);
  void removeReplica(const RemovedReplica &Removed);
  /// @brief Records that all changes of the store up to @p Revision have been
  /// applied.
  void advanceReplicas(StoreRevision Revision);
  /// @brief Makes this VM follow the evacuations. It is not ready before it
  /// knows them.
  void followEvacuations() { m_FollowsEvacuations = true; }
  /// @brief Merges a list of evacuations that this or another VM read.
  void mergeEvacuations(const EvacuationList &List, std::string_view Source);
  /// @brief Applies an object that was read from the store.
  void putEvacuation(const EvacuatedCentre &Stored);
  void removeEvacuation(const EvacuatedCentre &Removed);
  /// @brief Records that all changes of the evacuations up to @p Revision have
  /// been applied.
  void advanceEvacuations(StoreRevision Revision);
  /// @brief Records that the evacuations matched the store at @p At.
  void confirmEvacuations(TimePoint At);
  /// @brief Counts objects of the store that could not be read.
  void onUnreadable(std::size_t Count) { m_Unreadable += Count; }
  /// @brief Counts and logs objects of the store that not even have a name.
  void onUnnamed(std::string_view Kind, std::size_t Count);
  /// @brief Records that the replica list matched the store at @p At.
  void confirmReplicas(TimePoint At);
  /// @brief Records that the configuration matched the store at @p At.
  void confirmConfig(TimePoint At);
  /// @brief Records that the configuration in force was the newest at @p AsOf.
  /// All that was known then must have been published.
  /// @param Source What proves it. The store proves nothing while its
  /// configuration can't be decoded, is older than one that a VM has, or may be
  /// older because the store has just come back from a copy.
  void proveConfig(BootTime AsOf, std::string_view Source);
  /// @brief Enables proofs of the configuration. Without a handler,
  /// proveConfig() does nothing and no VM is told the age of a proof.
  /// @param Proved Called with each proof.
  void onProof(OnProof Proved) { m_OnProof = std::move(Proved); }
  /// @brief Records that the store answered this VM at @p At.
  /// @param Era The store's, as the answer names it.
  void onStoreAnswered(TimePoint At, StoreEra Era = {});
  /// @brief Records when the store answered other VMs, as one of them says.
  void onStoreContact(const ContactAge &Age);
  /// @brief Wakes the calls of VMs that follow this one, so that they learn
  /// that it lost the store.
  void onStoreLost() { m_Signal.notify(); }
  /// @brief Records that another VM has the configuration @p Version in force.
  void onConfigHeard(std::uint64_t Version) {
    m_NewestConfigVersion = std::max(m_NewestConfigVersion, Version);
  }
  /// @brief Handles a heartbeat.
  /// @return Whether its sender was unknown until now.
  bool onHeartbeat(const LoadedVm &Vm);
  /// @param Revision Of the record in the store; 0 if another VM passed it on.
  void onVmRecord(const VmRecord &Record,
                  StoreRevision Revision = StoreRevision(0));
  /// @brief Handles a VM whose heartbeat another VM has received and relayed.
  void onRelayedVm(const LoadedVm &Vm);
  /// @brief Applies time-outs, updates this VM's share, and publishes changes.
  void tick();
  /// @brief Publishes a new view if anything changed since the last one.
  void publish();
  /// @return The signal that is notified whenever a view is published.
  [[nodiscard]] ChangeSignal &signal() { return m_Signal; }
  [[nodiscard]] const ReplicaChanges &replicaChanges() const {
    return m_ReplicaChanges;
  }

private:
  /// @return Whether the store may lack a configuration that it has
  /// acknowledged.
  [[nodiscard]] bool mayLackConfig() const;
  /// @brief Logs that the store has come back from an older copy.
  void onContactChanged();
  /// @brief Replaces the configuration in force.
  void useConfig(RoutingTable Table, const nlohmann::json &Document,
                 std::string_view Source);
  void logIgnoredKeys();
  /// @brief Logs the replicas that became leaving after the change
  /// @p Sequence, and so get no more requests.
  void logLeaving(std::uint64_t Sequence);
  /// @brief Logs begins and ends of evacuations, and has them published.
  void onEvacuationsChanged(std::string_view Source);
  /// @brief Logs what became of replicas, and has it published.
  void onReplicasChanged(std::string_view Source);
  void log(const ReplicaTransition &Change, std::string_view Source);
  void logStored(const ReplicaTransition &Change, std::string_view Source);

  EventLog &m_Log;
  Publish m_OnChange;
  std::shared_ptr<const RoutingTable> m_Table;
  nlohmann::json m_ConfigDocument;
  ReplicaRegistry m_Book;
  TimePoint m_StartedAt = monotonicNow();
  TimePoint m_ConfigConfirmedAt = monotonicNow();
  EvacuationRegistry m_Evacuations;
  TimePoint m_EvacuationsConfirmedAt = monotonicNow();
  std::uint64_t m_EvacuationSequence = 0;
  bool m_FollowsEvacuations = false;
  OnProof m_OnProof;
  /// Of the configuration in force; kept here without a bound.
  ConfigProof m_ConfigProof{std::nullopt};
  /// Whether the store's configuration can't be decoded, so that an older one
  /// is in force. Other VMs' configurations don't change it: they may be older.
  bool m_IsStoreConfigUnreadable = false;
  std::uint64_t m_StoreConfigVersion = 0;  ///< Of the store's configuration.
  std::uint64_t m_NewestConfigVersion = 0; ///< That any VM has in force.
  StoreEra m_Era;                          ///< Of the store, as last logged.
  VmTracker m_Vms;
  OwnLoad m_OwnLoad;
  double m_Share = 1;
  VmTurn m_Turn;
  ReplicaChanges m_ReplicaChanges;
  ChangeSignal m_Signal;
  std::uint64_t m_Changes = 0;
  std::uint64_t m_Unreadable = 0;
  bool m_HasReplicas = false;
  bool m_HasUnpublished = false;
};

} // namespace carawaypond::gateway
