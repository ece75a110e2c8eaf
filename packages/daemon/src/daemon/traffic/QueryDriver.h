#pragma once

#include "coordination/ownership/RouteTable.h"
#include "coordination/query/QueryActions.h"
#include "coordination/query/QueryRun.h"
#include "daemon/traffic/OwnerRunner.h"
#include "daemon/traffic/RemoteOwners.h"
#include "daemon/traffic/ServiceRuntime.h"
#include "daemon/traffic/TrafficContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace carawaypond::daemon {

/// @brief Dependencies of a QueryDriver. All of them outlive the driver.
struct QueryDriverResources {
  TrafficContext &Context;
  OwnerRunner &Owned;
  RemoteOwners &Remote;
  std::shared_ptr<ServiceRuntime> Service;
  std::shared_ptr<const RouteTable> Routes;
  std::shared_ptr<const ControlView> View;
};

/// @brief Executes one query: performs the actions of its QueryRun and reports
/// the outcomes to it until the query is finished.
class QueryDriver : public std::enable_shared_from_this<QueryDriver> {
public:
  QueryDriver(Query Asked, QueryDriverResources Resources);

  [[nodiscard]] const QueryCounters &counters() const {
    return m_Run.counters();
  }

  /// @brief Runs the query. Must be called only once.
  boost::asio::awaitable<QueryResult> run();

private:
  struct ActionVisitor;

  void perform(QueryActions Actions);
  void sendLocal(Subrequest Request);
  void flushRemote();
  void onOutcome(SubrequestId Id, ShardId Shard, SubOutcome Outcome);
  void onOwnerLost(SubrequestId Id, bool MayHaveBeenSent);

  QueryDriverResources m_Resources;
  Duration m_OwnerTimeout; ///< After this, an owner counts as unresponsive.
  QueryRun m_Run;
  boost::asio::steady_timer m_Timer;
  std::optional<QueryResult> m_Result;
  /// Subrequests of one step by owner, sent as one batch per owner.
  std::map<VmName, std::vector<Subrequest>> m_Outgoing;
};

} // namespace carawaypond::daemon
