#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace carawaypond::gateway {

/// @brief A server that answers each request with an endless stream of bytes,
/// until the peer closes the connection.
class EndlessServer {
public:
  /// @param Head Bytes that are sent once, at the start.
  /// @param Piece Bytes that are sent repeatedly after @p Head.
  EndlessServer(std::string Head, std::string Piece);
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;
  ~EndlessServer();

  [[nodiscard]] std::string address() const;
  /// @return The number of requests whose answer has begun.
  [[nodiscard]] int begun() const { return m_Begun; }
  /// @return The number of answers that the peer ended by closing.
  [[nodiscard]] int closed() const { return m_Closed; }
  /// @return The number of bytes that the peer or socket buffers accepted.
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
