#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "peer/loop/Preamble.h"
#include "peer/traffic/TrafficContext.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace carawaypond::peer {

/// @brief Listens on the node's address and dispatches each connection by the
/// protocol that its preamble selects.
class Acceptor {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using OnConnection = std::function<void(Socket)>;

  /// @brief Handlers for new connections, by protocol.
  struct Events {
    OnConnection OnRpc;
    OnConnection OnTraffic;
  };

  Acceptor(TrafficContext &Context, Events Handlers);

  /// @brief Starts to listen.
  /// @return "ip:port" with the actual port.
  [[nodiscard]] Result<std::string> listen();
  /// @brief Starts accepting connections.
  void start();
  /// @brief Closes connections whose preamble did not arrive in time. Resumes
  /// accepting after a failed accept.
  void sweep(TimePoint Now);
  void close();

private:
  /// A connection whose preamble has not been received yet.
  struct PendingConnection {
    Socket Connection;
    TimePoint ExpiresAt;
    Preamble ReceivedPreamble{};
  };

  void accept();
  void readPreamble(const std::shared_ptr<PendingConnection> &Arrived);
  void dispatchByPreamble(PendingConnection &Arrived);

  TrafficContext &m_Context;
  Events m_Events;
  boost::asio::ip::tcp::acceptor m_Listener;
  std::list<std::weak_ptr<PendingConnection>> m_PendingConnections;
  bool m_Paused = false; ///< Accept failed; the next sweep() retries.
};

} // namespace carawaypond::peer
