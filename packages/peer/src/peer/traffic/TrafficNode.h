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

/// @brief Transport for subrequests between daemons. Owns the traffic thread
/// with the listener, the links to owners and the sessions of coordinators.
class TrafficNode {
public:
  /// Takes ownership of the descriptor of an inbound RPC connection.
  using OnRpcConnection = std::function<void(int Descriptor)>;

  TrafficNode(std::shared_ptr<TrafficContext> Context, OnRpcConnection OnRpc);
  ~TrafficNode();
  TrafficNode(const TrafficNode &) = delete;
  TrafficNode &operator=(const TrafficNode &) = delete;

  /// @brief Starts to listen. @return "ip:port" with the actual port.
  [[nodiscard]] Result<std::string> listen();
  /// @brief Starts the thread.
  void start();
  /// @brief Closes all links and sessions, then joins the thread.
  void stop();

  void run(std::string Address, Incarnation Expected,
           std::vector<PeerSubrequest> Batch, RunObserver Observer);
  void cancel(std::string Address, std::vector<SubrequestId> Ids);
  /// @brief Closes the connection to an unresponsive peer.
  void drop(std::string Address);

private:
  [[nodiscard]] TrafficLink &linkTo(const std::string &Address);
  void addSession(boost::asio::ip::tcp::socket Socket);
  void closeFormerIncarnations(const PeerIdentity &Peer);
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
