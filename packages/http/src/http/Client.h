#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "http/ClientOptions.h"
#include "http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace carawaypond::http {

namespace internal {
class ConnectionPool;
} // namespace internal

/// @brief Sends requests to one server over a small pool of keep-alive
/// connections.
///
/// Belongs to the one thread that runs the executor's io_context. Requests may
/// run concurrently; each uses its own connection.
class Client {
public:
  Client(boost::asio::any_io_executor Executor, ClientOptions Options);
  Client(Client &&) noexcept;
  Client &operator=(Client &&) noexcept;
  ~Client();

  [[nodiscard]] const std::string &address() const;

  /// @brief Sends @p Asked once. If a pooled connection turns out to be closed
  /// before any byte was sent, opens a new connection for the request.
  /// @return The response, or an error as documented at Connection.
  boost::asio::awaitable<Result<Response>> send(Request Asked,
                                                TimePoint Deadline);

private:
  std::shared_ptr<internal::ConnectionPool> m_Pool;
};

} // namespace carawaypond::http
