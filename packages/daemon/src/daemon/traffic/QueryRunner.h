#pragma once

#include "coordination/query/QueryResult.h"
#include "coordination/query/QueryRun.h"
#include "daemon/traffic/OwnerRunner.h"
#include "daemon/traffic/QueryRequest.h"
#include "daemon/traffic/RemoteOwners.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/StatusPoller.h"
#include "daemon/traffic/TrafficContext.h"
#include "http/Response.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>

namespace carawaypond {
class RouteTable;
} // namespace carawaypond

namespace carawaypond::daemon {

/// @brief Runs queries from admission to response, and records their metrics.
class QueryRunner {
public:
  QueryRunner(TrafficContext &Context, ServiceTable &Services,
              OwnerRunner &Owned, RemoteOwners &Remote, StatusPoller &Poller);

  /// @brief Applies a new control view.
  void apply(std::shared_ptr<const ControlView> View);

  /// @brief Runs one query. Every refusal before a subrequest is sent has the
  /// outcome "not_run".
  /// @param ArrivedAt When the caller's request was read.
  boost::asio::awaitable<http::Response> run(QueryRequest Request,
                                             TimePoint ArrivedAt);

private:
  boost::asio::awaitable<http::Response>
  runAdmitted(std::shared_ptr<ServiceRuntime> Service, Query Asked,
              TimePoint ArrivedAt);
  void count(const QueryResult &Result, const Query &Asked,
             TimePoint ArrivedAt);

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  OwnerRunner &m_Owned;
  RemoteOwners &m_Remote;
  StatusPoller &m_Poller;
  std::shared_ptr<const ControlView> m_View;
  std::shared_ptr<const RouteTable> m_Routes;
  std::uint64_t m_LastRequest = 0;
};

} // namespace carawaypond::daemon
