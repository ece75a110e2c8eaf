#pragma once

#include "adapter/StoreClient.h"
#include "coordination/watch/WatchCursor.h"
#include "gateway/control/ConfigSink.h"
#include "gateway/control/FleetState.h"
#include "gateway/control/FollowOptions.h"
#include "gateway/control/ReplicaSink.h"
#include "gateway/control/RetryPause.h"
#include "gateway/control/StoreHealth.h"
#include "gateway/control/StoreRole.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <variant>

namespace carawaypond::gateway {

/// @brief Keeps what this VM knows of one kind of object equal to the store,
/// while it is this VM's role to read the store: a list, then watches; another
/// list after each failure.
class StoreFollower {
public:
  using Sink = std::variant<ConfigSink, ReplicaSink>;

  StoreFollower(boost::asio::io_context &Context, adapter::StoreClient &Store,
                FleetState &State, StoreHealth &Health, StoreRole &Role,
                const FollowOptions &Options, Sink Into);

  /// @brief Follows for ever.
  boost::asio::awaitable<void> run();

private:
  [[nodiscard]] const char *kind() const;

  boost::asio::awaitable<bool> list();
  boost::asio::awaitable<bool> watch();
  void onFailed(const Error &Why);
  void onAnswered();
  void confirm(TimePoint At);

  adapter::StoreClient &m_Store;
  FleetState &m_State;
  StoreHealth &m_Health;
  StoreRole &m_Role;
  FollowOptions m_Options;
  Sink m_Sink;
  RetryPause m_Pause;
  WatchCursor m_Cursor;
};

} // namespace carawaypond::gateway
