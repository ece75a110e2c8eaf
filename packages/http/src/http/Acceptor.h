#pragma once

#include "core/outcome/Result.h"
#include "http/SessionTable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace carawaypond::http::internal {

/// @brief Owns the listening socket, and periodically expires the waits of
/// sessions that have timed out.
class Acceptor : public std::enable_shared_from_this<Acceptor> {
public:
  Acceptor(boost::asio::io_context &Context, ListenerOptions Options,
           Handler Handle);

  [[nodiscard]] std::string address() const { return m_Address; }
  [[nodiscard]] SessionTable &sessions() { return *m_Sessions; }

  /// @brief Opens, binds and listens.
  Result<void> bind();
  /// @brief Starts the accept loop and the timeout sweep.
  void start();
  /// @brief Accepts the connections that are already in the system's backlog,
  /// then closes the socket.
  void stopAccepting();
  /// @brief Closes the socket and every session.
  void abort();

private:
  [[nodiscard]] Milliseconds sweepInterval() const;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> sweepLoop();
  void acceptPendingConnections();
  void take(boost::asio::ip::tcp::socket Socket);
  void refuse(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &m_Context;
  boost::asio::ip::tcp::acceptor m_Socket;
  boost::asio::steady_timer m_SweepTimer;
  std::string m_Address;
  std::shared_ptr<SessionTable> m_Sessions;
};

} // namespace carawaypond::http::internal
