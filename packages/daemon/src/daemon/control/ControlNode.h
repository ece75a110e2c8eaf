#pragma once

#include "daemon/control/ControlState.h"
#include "daemon/control/OperatorApi.h"
#include "daemon/control/PeerExchange.h"
#include "daemon/control/RolloutChecker.h"
#include "daemon/control/StoreReader.h"
#include "daemon/control/SubmissionRunner.h"
#include "daemon/metrics/Metrics.h"
#include "daemon/settings/Settings.h"
#include "daemon/view/ViewHolder.h"

#include <functional>
#include <memory>

namespace carawaypond::daemon {

/// @brief Callbacks from the control thread to the other threads. The control
/// thread may call them at any time.
struct ControlHandlers {
  /// Called after a new view has been published.
  std::function<void()> OnView;
  /// Called when other VMs have reported newer replica versions.
  std::function<void(std::vector<ServiceReplicaVersions>)> OnVersions;
  /// Performs a step of this VM's graceful stop.
  std::function<void(VmDrainAction)> OnDrainStep;
  /// @return The number of open caller connections and unfinished subrequests
  /// on the traffic thread, as last measured.
  std::function<std::size_t()> Busy;
};

/// @brief The control thread's work: cluster membership, the configuration in
/// force, the operators' API and this VM's graceful stop.
class ControlNode {
public:
  ControlNode(boost::asio::io_context &Io, const Settings &Config,
              const VmRecord &Self, ViewHolder &Views, Metrics &Collected,
              ControlHandlers Handlers);

  /// @brief Sets the node used for calls to other VMs.
  void attach(peer::PeerNode &Node);
  /// @brief Spawns the periodic tick. Must be called before the control thread
  /// runs.
  void start();

  // The functions below must be called on the control thread.

  [[nodiscard]] PeerExchange &exchange() { return m_Exchange; }
  [[nodiscard]] OperatorApi &operators() { return m_Api; }
  /// @brief Begins a graceful stop.
  /// @return The maximum time until only in-flight requests delay the exit.
  Milliseconds beginStop();
  /// @brief Records whether a backend server reports that it is draining.
  void onDrainStatus(const ServerName &Server, bool Leaving);
  /// @brief Merges replica versions that this VM has polled.
  void onVersions(const std::vector<ServiceReplicaVersions> &Rows);

private:
  boost::asio::awaitable<void> run();
  void tick(TimePoint Now);
  void contactSeeds();
  void stopIfSuperseded();
  void publish();
  [[nodiscard]] ControlView makeView() const;
  void count();

  boost::asio::io_context &m_Io;
  const Settings &m_Config;
  ViewHolder &m_Views;
  Metrics &m_Collected;
  ControlHandlers m_Handlers;
  ControlState m_State;
  StoreReader m_Reader;
  SubmissionRunner m_Submissions;
  PeerExchange m_Exchange;
  RolloutChecker m_RolloutChecker;
  OperatorApi m_Api;
  std::uint64_t m_Generation = 0;
  bool m_IsPublishPending = false;
};

} // namespace carawaypond::daemon
