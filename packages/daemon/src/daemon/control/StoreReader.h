#pragma once

#include "coordination/configuration/StoreReadScheduler.h"
#include "daemon/control/ControlState.h"
#include "platform/ObjectClient.h"
#include "platform/VmListClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief Reads services, indexes and the VM list from the platform. How often
/// depends on whether this VM is one of the watchers. Used on the control
/// thread only.
class StoreReader {
public:
  /// @param Seed Must differ between VMs, so that their reads are not
  /// synchronised.
  StoreReader(boost::asio::io_context &Io, const std::string &Platform,
              ControlState &State, std::uint64_t Seed);

  [[nodiscard]] const platform::CallCounts &calls() const {
    return m_Objects.counts();
  }
  [[nodiscard]] const platform::CallCounts &vmListCalls() const {
    return m_VmList.counts();
  }
  [[nodiscard]] platform::ObjectClient &objects() { return m_Objects; }

  /// @brief Starts the given reads of services, and the reads of indexes and of
  /// the VM list that are due.
  void tick(const std::vector<StoreReadAction> &ServiceReads, TimePoint Now);

private:
  using Found = std::vector<platform::Object>;
  struct ServiceVisitor;
  struct IndexVisitor;

  boost::asio::awaitable<void> listServices();
  boost::asio::awaitable<void> watchServices(WatchObjects Asked);
  boost::asio::awaitable<void> listIndexes();
  boost::asio::awaitable<void> watchIndexes(WatchObjects Asked);
  boost::asio::awaitable<Result<platform::ObjectList>>
  watch(std::string Kind, WatchObjects Asked);
  boost::asio::awaitable<void> readVmList();
  void mergeIndexes(const Found &Objects);
  [[nodiscard]] bool isWatcher() const;

  boost::asio::io_context &m_Io;
  ControlState &m_State;
  platform::ObjectClient m_Objects;
  platform::VmListClient m_VmList;
  StoreReadScheduler
      m_IndexFeed; ///< The feed of services is in ControlState::Core.
  std::optional<TimePoint> m_NextVmList;
  bool m_IsReadingVmList = false;
};

} // namespace carawaypond::daemon
