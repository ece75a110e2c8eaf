#pragma once

#include "backend/pool/fwd.h"
#include "backend/search/SearchOutcome.h"
#include "backend/search/SearchRequest.h"
#include "backend/search/ServerStatus.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::http {
class Connection;
struct Request;
struct Response;
} // namespace carawaypond::http

namespace carawaypond::backend {

struct ServerPoolOptions {
  ServerName Server;
  std::string Address;            ///< "ip:port".
  std::size_t MaxConnections = 1; ///< This VM's share of the server's limit.
};

struct ServerPoolStats {
  std::uint64_t Opened = 0;    ///< Connections opened so far.
  std::uint64_t Exhausted = 0; ///< Calls refused as no connection was free.
  std::size_t Open = 0;        ///< Connections open now, in use or idle.
};

/// @brief The connections of this VM to one backend server, never more than
/// its share of the server's limit. Not thread-safe.
class ServerPool {
public:
  using Permission = std::function<bool()>;

  ServerPool(boost::asio::any_io_executor Executor, ServerPoolOptions Options);
  ~ServerPool();
  ServerPool(const ServerPool &) = delete;
  ServerPool &operator=(const ServerPool &) = delete;

  [[nodiscard]] const ServerPoolStats &stats() const;
  [[nodiscard]] const ServerPoolOptions &options() const;

  /// @brief Sends one subrequest and waits for its answer or its deadline.
  /// Returns SearchNotSent at once if all connections are in use.
  /// @param MaySend Called once connected, right before the first byte is sent;
  /// if it returns false, the outcome is SearchNotSent.
  boost::asio::awaitable<SearchOutcome> search(SearchRequest Search,
                                               Permission MaySend = {});

  /// @brief Asks the server to cancel a subrequest.
  /// @return Whether the server stated that it has not run it and never will.
  boost::asio::awaitable<bool> cancel(std::string Id, TimePoint Deadline);

  /// @brief Fetches the server's status.
  boost::asio::awaitable<Result<ServerStatus>> status(TimePoint Deadline);

  /// @brief Changes this VM's share of the server's limit. Connections in use
  /// stay open until their calls end.
  void setMaxConnections(std::size_t Max);

  /// @brief Closes connections that have been idle since before @p Since.
  void closeIdleSince(TimePoint Since);

private:
  class Lease;
  struct Idle {
    std::unique_ptr<http::Connection> Connection;
    TimePoint Since;
  };

  [[nodiscard]] bool canLease() const;
  Lease lease();
  void giveBack(std::unique_ptr<http::Connection> Connection);
  void dropIdle();
  boost::asio::awaitable<Result<http::Response>>
  call(http::Request Request, TimePoint Deadline, const Permission &MaySend);

  boost::asio::any_io_executor m_Executor;
  ServerPoolOptions m_Options;
  ServerPoolStats m_Stats;
  std::vector<Idle> m_Idle;
};

} // namespace carawaypond::backend
