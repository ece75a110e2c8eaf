#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace carawaypond::gateway {

/// @brief A caller that sends its bytes when the test wants, on one connection.
class RawCaller {
public:
  /// @param Address "ip:port"
  explicit RawCaller(const std::string &Address);

  /// @brief Sends @p Bytes; an error is ignored, as the answer shows it.
  void send(std::string_view Bytes);
  /// @return The head of the next answer, without its body; empty if the
  /// connection ends before it is complete.
  std::string readHead();
  /// @return Everything up to the end of the connection.
  std::string readAll();

private:
  boost::asio::io_context m_Context{1};
  boost::asio::ip::tcp::socket m_Socket{m_Context};
  std::string m_Received;
};

} // namespace carawaypond::gateway
