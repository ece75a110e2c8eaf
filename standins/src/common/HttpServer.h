#pragma once

#include "common/HttpSession.h"
#include "core/outcome/Result.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace carawaypond::standins {

/// @brief A listening socket and its open connections. Must outlive the run of
/// the io_context.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, HttpServerOptions Options,
             HttpHandler Handler);

  /// @return The port in use; stop() and start() keep it.
  [[nodiscard]] std::uint16_t port() const { return m_Options.Port; }
  [[nodiscard]] bool listening() const { return m_Acceptor != nullptr; }
  [[nodiscard]] std::size_t connections() const { return m_Sessions.size(); }
  /// @return The largest number of connections open at the same time.
  [[nodiscard]] std::size_t maxConnections() const { return m_MaxOpen; }
  [[nodiscard]] std::uint64_t acceptedConnections() const { return m_Accepted; }
  /// @return Connections closed on accept because of the connection limit.
  [[nodiscard]] std::uint64_t refusedConnections() const { return m_Refused; }

  /// @brief Opens the listener.
  Result<void> start();
  /// @brief Closes the listener and every connection.
  void stop();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Acceptor> From);
  void serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &m_Io;
  HttpServerOptions m_Options;
  HttpHandler m_Handler;
  std::shared_ptr<Acceptor> m_Acceptor;
  std::unordered_map<HttpSession *, std::shared_ptr<HttpSession>> m_Sessions;
  std::size_t m_MaxOpen = 0;
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Refused = 0;
};

} // namespace carawaypond::standins
