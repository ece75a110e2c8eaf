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

/// @brief Sends requests to one server over a few kept connections.
///
/// Belongs to the one thread that runs the executor's io_context. Requests may
/// overlap: each has a connection to itself.
class Client {
public:
  Client(boost::asio::any_io_executor Executor, ClientOptions Options);
  Client(Client &&) noexcept;
  Client &operator=(Client &&) noexcept;
  ~Client();

  [[nodiscard]] const std::string &address() const;

  /// @brief Sends @p Asked, once. When a kept connection turns out to be
  /// closed before a byte was sent, a new one is opened for it.
  /// @return The answer, or an error with the meaning that Connection gives.
  boost::asio::awaitable<Result<Response>> send(Request Asked,
                                                TimePoint Deadline);

private:
  std::shared_ptr<internal::ConnectionPool> m_Pool;
};

} // namespace carawaypond::http
