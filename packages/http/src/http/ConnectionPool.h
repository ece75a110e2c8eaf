#pragma once

#include "http/ClientOptions.h"
#include "http/Connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <optional>
#include <string>
#include <vector>

namespace carawaypond::http::internal {

/// @brief Pool of idle connections to one server; reuses the most recently used
/// connection first.
class ConnectionPool {
public:
  ConnectionPool(boost::asio::any_io_executor Executor, ClientOptions Options);

  [[nodiscard]] const std::string &address() const { return m_Options.Address; }

  /// @return An idle connection that appears to be open, if there is one.
  [[nodiscard]] std::optional<Connection> take();
  /// @return A new connection, not yet connected.
  [[nodiscard]] Connection make() const;
  /// @brief Returns @p Used to the pool if it is open and the pool has room.
  void keep(Connection Used);

private:
  boost::asio::any_io_executor m_Executor;
  ClientOptions m_Options;
  std::vector<Connection> m_Idle;
};

} // namespace carawaypond::http::internal
