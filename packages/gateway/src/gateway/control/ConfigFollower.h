#pragma once

#include "adapter/StoreClient.h"
#include "coordination/watch/WatchCursor.h"
#include "gateway/control/FleetState.h"
#include "gateway/control/FollowOptions.h"
#include "gateway/control/RetryPause.h"
#include "gateway/control/StoreHealth.h"
#include "gateway/control/StoreRole.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace carawaypond::gateway {

/// @brief Keeps the configuration in force equal to the one in the store.
class ConfigFollower {
public:
  ConfigFollower(boost::asio::io_context &Context, adapter::StoreClient &Store,
                 FleetState &State, StoreHealth &Health, StoreRole &Role,
                 const FollowOptions &Options);

  /// @brief Follows for ever.
  boost::asio::awaitable<void> run();

private:
  boost::asio::awaitable<bool> list();
  boost::asio::awaitable<bool> watch();
  void onFailed(const Error &Why);
  void onAnswered();

  adapter::StoreClient &m_Store;
  FleetState &m_State;
  StoreHealth &m_Health;
  StoreRole &m_Role;
  FollowOptions m_Options;
  RetryPause m_Pause;
  WatchCursor m_Cursor;
};

} // namespace carawaypond::gateway
