#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "http/BeastMessage.h"
#include "http/ConnectionOptions.h"
#include "http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <string>

namespace carawaypond::http::internal {

/// @brief Implementation of Connection.
class ClientStream {
public:
  ClientStream(boost::asio::any_io_executor Executor, std::string Address,
               ConnectionOptions Options);

  [[nodiscard]] bool isOpen() const;
  [[nodiscard]] const std::string &address() const { return m_Address; }

  boost::asio::awaitable<Result<void>> connect(TimePoint Deadline);
  boost::asio::awaitable<Result<Response>> roundTrip(Request Asked,
                                                     TimePoint Deadline);
  void close();

private:
  [[nodiscard]] Error describe(const boost::system::error_code &Cause) const;
  [[nodiscard]] Error notConnected(const std::string &Why) const;

  boost::asio::awaitable<Result<void>> write(BeastRequest Message);
  boost::asio::awaitable<Result<Response>> readAnswer(bool IsHead);
  boost::asio::awaitable<Result<Response>> readMessage(bool IsHead);

  boost::asio::any_io_executor m_Executor;
  std::string m_Address;
  ConnectionOptions m_Options;
  /// Mutable because Asio has no const access to the native handle.
  mutable std::optional<boost::beast::tcp_stream> m_Stream;
  boost::beast::flat_buffer m_Buffer;
  bool m_Busy = false;
};

} // namespace carawaypond::http::internal
