#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "http/ConnectionOptions.h"
#include "http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace carawaypond::http {

namespace internal {
class ClientStream;
} // namespace internal

/// @brief One client connection with keep-alive, for one request at a time.
///
/// Belongs to the one thread that runs the executor's io_context. A Connection
/// may be destroyed while a call is pending: the call then ends with an error.
///
/// What an error of roundTrip() says about the request:
/// - NotConnected: no byte of it left this process, also when a reused
///   connection turned out to be closed.
/// - ConnectionLost, TimedOut, Malformed, TooLarge, Cancelled: the server may
///   have received and run it.
/// - InvalidInput: it can't be written as HTTP; nothing was sent, and the
///   connection is unchanged.
///
/// After each error but InvalidInput the connection is closed, so that a late
/// response can't be taken for the response to the next request. To cancel a
/// call, close() the connection.
class Connection {
public:
  /// @param Address "ip:port" of the server.
  Connection(boost::asio::any_io_executor Executor, std::string Address,
             ConnectionOptions Options = {});
  Connection(Connection &&) noexcept;
  Connection &operator=(Connection &&) noexcept;
  ~Connection();

  /// @return Whether connected, and the server has neither closed the
  /// connection nor sent bytes that no request asked for.
  [[nodiscard]] bool isOpen() const;
  [[nodiscard]] const std::string &address() const;

  /// @brief Connects, after closing a connection that is open.
  /// @return InvalidInput for an address that can't be parsed, else
  /// NotConnected.
  boost::asio::awaitable<Result<void>> connect(TimePoint Deadline);
  /// @brief Sends @p Asked and awaits the complete response. A response that is
  /// shorter than its stated length, or states no length, is an error.
  boost::asio::awaitable<Result<Response>> roundTrip(Request Asked,
                                                     TimePoint Deadline);
  /// @brief Closes the connection immediately; a pending call ends with an
  /// error.
  void close();

private:
  std::shared_ptr<internal::ClientStream> m_Stream;
};

} // namespace carawaypond::http
