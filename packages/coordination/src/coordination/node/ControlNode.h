#pragma once

#include "coordination/configuration/ConfigRegistry.h"
#include "coordination/drain/SendGate.h"
#include "coordination/membership/Membership.h"
#include "coordination/node/ConfigFetch.h"
#include "coordination/node/ControlNodeOptions.h"
#include "coordination/node/ControlTick.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief The control plane of one VM without I/O: membership, configuration,
/// freshness, drains and the VM's own stop. The daemon exchanges the digests,
/// reads the store, and reports observations from queries.
class ControlNode {
public:
  /// Maximum number of configurations in the answer to one fetch.
  static constexpr std::size_t MaxFetched = 64;

  explicit ControlNode(ControlNodeOptions Options);

  [[nodiscard]] const Membership &members() const { return m_Members; }
  [[nodiscard]] const ConfigRegistry &configs() const { return m_Configs; }
  [[nodiscard]] const ServerDrains &drains() const { return m_Drains; }
  [[nodiscard]] const VmDrain &stop() const { return m_Stop; }
  [[nodiscard]] const Freshness &recency() const { return m_Recency; }
  [[nodiscard]] const SendGate &sendGate() const { return m_Gate; }
  /// @return Whether a query may begin; otherwise it is refused as not run.
  [[nodiscard]] bool mayServe(TimePoint Now) const;
  /// @return Whether a submission may be written to the store.
  [[nodiscard]] bool maySubmit(TimePoint Now) const;

  /// @brief To be called each MembershipOptions::TickPeriod.
  /// @param InFlight See VmDrain::tick().
  ControlTick tick(std::size_t InFlight, TimePoint Now);
  /// @brief Makes the digest for a request or a reply. The caller adds indexes
  /// and replica versions.
  Digest makeDigest(bool Full, TimePoint Now);
  /// @brief Handles a request's digest, to be answered with makeDigest().
  /// @return The fetch to send, if the sender may hold newer configurations.
  std::optional<ConfigFetch> onRequest(const Digest &Heard, TimePoint Now);
  /// @brief Handles the reply to a request that was sent at @p SentAt.
  /// @return The fetch to send, if the sender may hold newer configurations.
  std::optional<ConfigFetch> onReply(const Digest &Heard, TimePoint SentAt,
                                     TimePoint Now);
  /// @brief Handles the answer to a fetch.
  /// @param IncarnationNumber The incarnation that answered.
  void onFetched(const ConfigFetch &Asked, Incarnation IncarnationNumber,
                 std::vector<StoredService> Newer, TimePoint Now);
  /// @brief Handles the answer to a ListObjects that was sent at @p SentAt.
  void onServiceList(std::uint64_t Revision,
                     std::vector<StoredService> Services, TimePoint SentAt,
                     TimePoint Now);
  void onServiceListFailed(TimePoint Now);
  /// @brief Handles the answer to WatchObjects.
  void onServiceWatch(std::uint64_t Revision,
                      std::vector<StoredService> Services, TimePoint Now);
  void onServiceWatchFailed(TimePoint Now);
  /// @brief Stores the configuration that this VM's own submission wrote.
  void onWritten(StoredService Written) { m_Configs.take(std::move(Written)); }
  void onVmList(const std::vector<ListedVm> &Listed, TimePoint Now);
  /// @brief Records whether a backend server is leaving; see
  /// ServerDrains::observe().
  void onServerDrainStatus(const ServerName &Server, bool Leaving,
                           TimePoint Now);
  /// @brief Begins the graceful stop.
  void beginStop(TimePoint Now);

private:
  void onDigest(const Digest &Heard, TimePoint Now);
  [[nodiscard]] std::optional<ConfigFetch>
  fetchFrom(const Digest &Heard, std::optional<TimePoint> SentAt) const;
  [[nodiscard]] bool isWatcher() const;
  void updateServingLease(TimePoint Now);

  ControlNodeOptions m_Options;
  Membership m_Members;
  ConfigRegistry m_Configs;
  StoreReadScheduler m_StoreReads;
  Freshness m_Recency;
  ServerDrains m_Drains;
  SendGate m_Gate;
  VmDrain m_Stop;
};

} // namespace carawaypond
