#pragma once

#include "daemon/control/ControlState.h"
#include "daemon/control/ForceAsker.h"
#include "daemon/control/OperatorApi.h"
#include "daemon/control/PeerExchange.h"
#include "daemon/control/StoreReader.h"
#include "daemon/control/SubmissionRunner.h"
#include "daemon/metrics/Metrics.h"
#include "daemon/settings/Settings.h"
#include "daemon/view/ViewHolder.h"

#include <functional>
#include <memory>

namespace carawaypond::daemon {

/// @brief What the control thread asks of the others. The functions may be
/// called from the control thread at any time.
struct ControlHandlers {
  /// A new view is published.
  std::function<void()> OnView;
  /// Other VMs told what replicas serve.
  std::function<void(std::vector<ServiceReplicaVersions>)> OnVersions;
  /// Performs a step of this VM's graceful stop.
  std::function<void(VmDrainAction)> OnDrainStep;
  /// @return Callers' connections and subrequests that are not done, as last
  /// measured.
  std::function<std::size_t()> Busy;
};

/// @brief All that the control thread does: who is alive, which configuration
/// is in force, what operators ask, and this VM's graceful stop.
class ControlNode {
public:
  ControlNode(boost::asio::io_context &Io, const Settings &Config,
              const VmRecord &Self, ViewHolder &Views, Metrics &Collected,
              ControlHandlers Handlers);

  /// @brief Uses @p Node for calls to other VMs.
  void attach(peer::PeerNode &Node);
  /// @brief Begins to work. Call it before the thread runs.
  void start();

  // The rest is to be called on the control thread.

  [[nodiscard]] PeerExchange &exchange() { return m_Exchange; }
  [[nodiscard]] OperatorApi &operators() { return m_Api; }
  /// @brief Begins a graceful stop.
  /// @return The longest time until it waits only for what is in flight.
  Milliseconds beginStop();
  /// @brief A backend server says whether it is leaving.
  void onDrainSign(const ServerName &Server, bool Leaving);
  /// @brief This VM found what replicas serve.
  void onVersions(const std::vector<ServiceReplicaVersions> &Rows);

private:
  boost::asio::awaitable<void> run();
  void tick(TimePoint Now);
  void askSeeds();
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
  ForceAsker m_Asker;
  OperatorApi m_Api;
  std::uint64_t m_Generation = 0;
  bool m_PublishPending = false;
};

} // namespace carawaypond::daemon
