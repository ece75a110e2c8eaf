#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/node/RunObserver.h"
#include "peer/traffic/Acceptor.h"
#include "peer/traffic/TrafficContext.h"
#include "peer/traffic/TrafficLink.h"
#include "peer/traffic/TrafficSession.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace carawaypond::peer {

/// @brief Subrequests between daemons: a thread with the listener, the links to
/// owners and the sessions of coordinators.
class TrafficNode {
public:
  /// Takes over the descriptor of a connection for RPC.
  using OnRpcConnection = std::function<void(int Descriptor)>;

  TrafficNode(std::shared_ptr<TrafficContext> Context, OnRpcConnection OnRpc);
  ~TrafficNode();
  TrafficNode(const TrafficNode &) = delete;
  TrafficNode &operator=(const TrafficNode &) = delete;

  /// @brief Starts to listen. @return "ip:port" with the port in use.
  [[nodiscard]] Result<std::string> listen();
  /// @brief Starts the thread.
  void start();
  /// @brief Ends what is open, then joins the thread.
  void stop();

  void run(std::string Address, Incarnation Expected,
           std::vector<PeerSubrequest> Batch, RunObserver Observer);
  void cancel(std::string Address, std::vector<SubrequestId> Ids);
  /// @brief Drops the connection to a peer that is silent.
  void drop(std::string Address);

private:
  [[nodiscard]] TrafficLink &linkTo(const std::string &Address);
  void addSession(boost::asio::ip::tcp::socket Socket);
  void closePredecessors(const PeerIdentity &Peer);
  void tick();
  void sweep();
  void closeAll();

  std::shared_ptr<TrafficContext> m_Context;
  Acceptor m_Acceptor;
  boost::asio::steady_timer m_Tick;
  std::map<std::string, std::shared_ptr<TrafficLink>> m_Links;
  std::vector<std::shared_ptr<TrafficSession>> m_Sessions;
  std::thread m_Thread;
};

} // namespace carawaypond::peer
