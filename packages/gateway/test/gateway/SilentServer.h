#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace carawaypond::gateway {

/// @brief A server that accepts connections and never answers.
class SilentServer {
public:
  SilentServer();
  SilentServer(const SilentServer &) = delete;
  SilentServer &operator=(const SilentServer &) = delete;
  ~SilentServer();

  [[nodiscard]] std::string address() const;
  /// @return The number of connections on which something arrived.
  [[nodiscard]] int arrivals() const { return m_Arrivals; }

private:
  void accept();

  boost::asio::io_context m_Context{1};
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::list<boost::asio::ip::tcp::socket> m_Peers;
  std::atomic<int> m_Arrivals = 0;
  std::thread m_Thread;
};

} // namespace carawaypond::gateway
