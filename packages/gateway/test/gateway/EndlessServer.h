#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace carawaypond::gateway {

/// @brief A server that answers each request with bytes without end, until the
/// peer closes.
class EndlessServer {
public:
  /// @param Head What is sent first.
  /// @param Piece What is sent then, again and again.
  EndlessServer(std::string Head, std::string Piece);
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;
  ~EndlessServer();

  [[nodiscard]] std::string address() const;
  /// @return How many requests began to be answered.
  [[nodiscard]] int begun() const { return m_Begun; }
  /// @return How many of them the peer ended by closing.
  [[nodiscard]] int closed() const { return m_Closed; }
  /// @return The bytes that were taken by the peer, or by buffers on the way.
  [[nodiscard]] std::size_t sent() const { return m_Sent; }

private:
  void accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Peer);

  std::string m_Head;
  std::string m_Piece;
  boost::asio::io_context m_Context{1};
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::atomic<int> m_Begun = 0;
  std::atomic<int> m_Closed = 0;
  std::atomic<std::size_t> m_Sent = 0;
  std::thread m_Thread;
};

} // namespace carawaypond::gateway
