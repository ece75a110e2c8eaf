#pragma once

#include "adapter/StoreClient.h"
#include "coordination/fleet/VmRecordCleaner.h"
#include "coordination/membership/VmRecord.h"
#include "gateway/control/FleetState.h"
#include "gateway/control/FollowOptions.h"
#include "gateway/control/RetryPause.h"
#include "gateway/log/EventLog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace carawaypond::gateway {

/// @brief Writes this VM's record to the store, reads those of the other VMs,
/// and removes those of VMs that are gone.
///
/// A record that another VM removed, or that a late write of an earlier
/// incarnation replaced, is written again after the next listing.
class VmRegistration {
public:
  using OnListed = std::function<void()>;

  VmRegistration(boost::asio::io_context &Context, adapter::StoreClient &Store,
                 FleetState &State, EventLog &Log, VmRecord Self,
                 const FollowOptions &Options, OnListed Listed);

  /// @brief Writes the record, then reads all records every
  /// FollowOptions::RegistryInterval until withdraw() is called.
  boost::asio::awaitable<void> run();
  /// @brief Stops run() and tries to remove the record: once, and again at the
  /// end of a write that was outstanding.
  boost::asio::awaitable<void> withdraw();

private:
  /// @brief Writes the record. Removes it again if withdraw() was called
  /// meanwhile.
  boost::asio::awaitable<bool> write();
  boost::asio::awaitable<bool> put();
  boost::asio::awaitable<bool> list();
  /// @brief Takes in one page of records.
  void onPage(const std::vector<adapter::StoredDocument> &Documents);
  /// @brief Writes the record again if the list does not hold it.
  boost::asio::awaitable<void> restore();
  boost::asio::awaitable<void> clean();
  boost::asio::awaitable<void> remove(const StoredVmRecord &Gone);
  /// @brief Removes this VM's record.
  boost::asio::awaitable<void> removeOwn();

  adapter::StoreClient &m_Store;
  FleetState &m_State;
  EventLog &m_Log;
  VmRecord m_Self;
  FollowOptions m_Options;
  OnListed m_Listed;
  RetryPause m_Pause;
  VmRecordCleaner m_Cleaner;
  std::vector<StoredVmRecord> m_Records; ///< Of the current listing.
  bool m_IsListed = false; ///< Whether that holds this incarnation's record.
  bool m_IsWithdrawn = false;
};

} // namespace carawaypond::gateway
