#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace carawaypond::gateway {

/// @brief A replica that rejects its first request and runs all later ones. On
/// the connection of the rejected request it sends the rejection once more,
/// just before its next answer.
class RepeatingServer {
public:
  /// @param Rejection Status line of the rejection, such as
  /// "503 Service Unavailable".
  /// @param Interim Sent before each answer.
  explicit RepeatingServer(std::string Rejection, std::string Interim = "");
  RepeatingServer(const RepeatingServer &) = delete;
  RepeatingServer &operator=(const RepeatingServer &) = delete;
  ~RepeatingServer();

  [[nodiscard]] std::string address() const;
  /// @return The number of requests that were run.
  [[nodiscard]] int runs() const { return m_Runs; }
  [[nodiscard]] int rejected() const { return m_Rejected; }

private:
  void accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Peer);
  /// @return The whole answer to a request.
  std::string answer(const std::string &RequestHead);

  std::string m_Rejection;
  std::string m_Interim;
  boost::asio::io_context m_Context{1};
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::atomic<int> m_Runs = 0;
  std::atomic<int> m_Rejected = 0;
  std::thread m_Thread;
};

} // namespace carawaypond::gateway
