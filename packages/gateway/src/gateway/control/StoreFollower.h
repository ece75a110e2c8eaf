#pragma once

#include "adapter/StoreClient.h"
#include "coordination/watch/WatchCursor.h"
#include "gateway/control/ConfigSink.h"
#include "gateway/control/EvacuationSink.h"
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

/// @brief Keeps this VM's copy of one kind of object in step with the store,
/// while this VM is to read the store.
///
/// Reads the whole list, then watches for changes; reads the list again after
/// each failure, and when the store has come back from an older copy.
class StoreFollower {
public:
  using Sink = std::variant<ConfigSink, ReplicaSink, EvacuationSink>;

  StoreFollower(boost::asio::io_context &Context, adapter::StoreClient &Store,
                FleetState &State, StoreHealth &Health, StoreRole &Role,
                const FollowOptions &Options, Sink Into);

  /// @brief Runs until the io_context stops.
  boost::asio::awaitable<void> run();

private:
  [[nodiscard]] const char *kind() const;

  boost::asio::awaitable<bool> list();
  boost::asio::awaitable<bool> watch();
  void onFailed(const Error &Why);
  /// @param Era Of the store that has answered.
  void onAnswered(StoreEra Era);
  void confirm(TimePoint At);
  /// @param AsOf When the call to the store began.
  void prove(BootTime AsOf);

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
