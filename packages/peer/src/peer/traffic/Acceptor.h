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

/// @brief Listens on the node's address and hands each connection on by its
/// preamble.
class Acceptor {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using OnConnection = std::function<void(Socket)>;

  /// @brief Where connections of either kind go.
  struct Events {
    OnConnection OnRpc;
    OnConnection OnTraffic;
  };

  Acceptor(TrafficContext &Context, Events Handlers);

  /// @brief Starts to listen.
  /// @return "ip:port" with the port that is in use.
  [[nodiscard]] Result<std::string> listen();
  /// @brief Starts to accept.
  void start();
  /// @brief Closes connections whose preamble is overdue; accepts again
  /// after a failure.
  void sweep(TimePoint Now);
  void close();

private:
  /// A connection that has not said what it is for.
  struct Newcomer {
    Socket Connection;
    TimePoint ExpiresAt;
    Preamble Said{};
  };

  void accept();
  void readPreamble(const std::shared_ptr<Newcomer> &Arrived);
  void handOn(Newcomer &Arrived);

  TrafficContext &m_Context;
  Events m_Events;
  boost::asio::ip::tcp::acceptor m_Listener;
  std::list<std::weak_ptr<Newcomer>> m_Newcomers;
  bool m_Paused = false; ///< Accepting failed; the next sweep() tries again.
};

} // namespace carawaypond::peer
