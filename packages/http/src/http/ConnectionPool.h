#pragma once

#include "http/ClientOptions.h"
#include "http/Connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <optional>
#include <string>
#include <vector>

namespace carawaypond::http::internal {

/// @brief Idle connections to one server; the last one used is taken first.
class ConnectionPool {
public:
  ConnectionPool(boost::asio::any_io_executor Executor, ClientOptions Options);

  [[nodiscard]] const std::string &address() const { return m_Options.Address; }

  /// @return An idle connection that still looks open, if there is one.
  [[nodiscard]] std::optional<Connection> take();
  /// @return A new connection, not yet connected.
  [[nodiscard]] Connection make() const;
  /// @brief Keeps @p Used for later if it is open and there is room.
  void keep(Connection Used);

private:
  boost::asio::any_io_executor m_Executor;
  ClientOptions m_Options;
  std::vector<Connection> m_Idle;
};

} // namespace carawaypond::http::internal
