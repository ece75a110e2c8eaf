#pragma once

#include "http/Endpoint.h"

#include "core/time/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <string_view>

namespace carawaypond::http {

inline constexpr auto AsTuple =
    boost::asio::as_tuple(boost::asio::use_awaitable);

/// @brief A deadline that a passing test never reaches.
inline TimePoint soon() { return monotonicNow() + std::chrono::seconds(30); }

/// @brief A TCP client that can send invalid or partial HTTP.
class RawClient {
public:
  /// @brief Connects before the loop runs; the system's backlog accepts the
  /// connection.
  RawClient(boost::asio::io_context &Context, const std::string &Address)
      : m_Socket(Context) {
    m_Socket.connect(parseEndpoint(Address).value());
  }

  /// @brief Sends @p Bytes; they are in the peer's receive buffer on return.
  void send(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes), Ignored);
  }

  /// @return Everything received until the peer closes the connection.
  boost::asio::awaitable<std::string> readAll() {
    std::string Text;
    co_await boost::asio::async_read(
        m_Socket, boost::asio::dynamic_buffer(Text), AsTuple);
    co_return Text;
  }

private:
  boost::asio::ip::tcp::socket m_Socket;
};

/// @brief Accepts connections and answers each request header with fixed text.
class RawServer {
public:
  explicit RawServer(boost::asio::io_context &Context)
      : m_Acceptor(Context, parseEndpoint("127.0.0.1:0").value()) {}

  [[nodiscard]] std::string address() const {
    return formatEndpoint(m_Acceptor.local_endpoint());
  }

  /// @brief Answers @p Count requests on one connection, then closes it.
  boost::asio::awaitable<void> serve(std::string Text, int Count = 1) {
    auto [Failed, Socket] = co_await m_Acceptor.async_accept(AsTuple);
    std::string Received;
    for (int I = 0; I < Count && !Failed; ++I) {
      co_await boost::asio::async_read_until(
          Socket, boost::asio::dynamic_buffer(Received), "\r\n\r\n", AsTuple);
      Received.clear();
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Text),
                                        AsTuple);
    }
  }

private:
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace carawaypond::http
