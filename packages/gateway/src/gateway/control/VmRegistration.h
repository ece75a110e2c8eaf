#pragma once

#include "adapter/StoreClient.h"
#include "coordination/membership/VmRecord.h"
#include "gateway/control/FleetState.h"
#include "gateway/control/FollowOptions.h"
#include "gateway/control/RetryPause.h"
#include "gateway/log/EventLog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

namespace carawaypond::gateway {

/// @brief Writes this VM's record to the store and reads those of the other
/// VMs.
class VmRegistration {
public:
  using OnListed = std::function<void()>;

  VmRegistration(boost::asio::io_context &Context, adapter::StoreClient &Store,
                 FleetState &State, EventLog &Log, VmRecord Self,
                 const FollowOptions &Options, OnListed Listed);

  /// @brief Writes the record, then reads all records every
  /// FollowOptions::RegistryInterval until withdraw() is called.
  boost::asio::awaitable<void> run();
  /// @brief Stops run() and tries once to remove the record.
  boost::asio::awaitable<void> withdraw();

private:
  boost::asio::awaitable<bool> write();
  boost::asio::awaitable<bool> list();

  adapter::StoreClient &m_Store;
  FleetState &m_State;
  EventLog &m_Log;
  VmRecord m_Self;
  FollowOptions m_Options;
  OnListed m_Listed;
  RetryPause m_Pause;
  bool m_IsWithdrawn = false;
};

} // namespace carawaypond::gateway
