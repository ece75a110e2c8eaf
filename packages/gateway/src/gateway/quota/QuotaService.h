#pragma once

#include "adapter/StoreClient.h"
#include "coordination/quota/AllocatorLease.h"
#include "coordination/quota/QuotaAllocator.h"
#include "gateway/control/FleetState.h"
#include "gateway/log/EventLog.h"
#include "gateway/quota/QuotaGate.h"
#include "http/Request.h"
#include "http/Response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace carawaypond::gateway {

/// @brief Counters of the allocator since the start.
struct QuotaCounts {
  std::uint64_t Calls = 0;   ///< Calls of VMs that were answered.
  std::uint64_t Tokens = 0;  ///< Tokens that were granted.
  std::uint64_t Refused = 0; ///< Grants that left requests without a token.
  std::uint64_t Terms = 0;   ///< How often this VM became the allocator.
};

/// @brief Allocates the workspaces' quotas while this VM holds the lease, and
/// takes the lease if nobody else does. Used by the control thread only.
///
/// Does nothing while no workspace has a quota.
class QuotaService {
public:
  using Describe = std::function<LoadedVm()>;
  using OnKnown = std::function<void(std::optional<AllocatorRecord>)>;

  /// @param Known Called when the allocator or its term changes; with nothing
  /// if there is none.
  QuotaService(boost::asio::io_context &Context, adapter::StoreClient &Store,
               FleetState &State, EventLog &Log, QuotaOptions Options,
               Describe Self, OnKnown Known);

  /// @return The newest allocator, for heartbeats; it may have released.
  [[nodiscard]] const std::optional<AllocatorRecord> &newest() const {
    return m_Lease.newest();
  }
  [[nodiscard]] const QuotaCounts &counts() const { return m_Counts; }
  /// @return Whether this VM may grant tokens.
  [[nodiscard]] bool isAllocating() const {
    return m_Lease.mayGrant(bootNow());
  }

  /// @brief Answers a call of a VM.
  [[nodiscard]] http::Response answer(const http::Request &Asked);
  /// @brief Handles the heartbeat of another VM.
  /// @param Heard The allocator that it names, if any.
  void onHeartbeat(const std::optional<AllocatorRecord> &Heard);
  void onReport(const AllocatorReport &Report);
  /// @brief Renews the lease, takes it over, or releases it.
  void tick();
  /// @brief Releases the lease, as this VM stops.
  void stop();

private:
  [[nodiscard]] bool isNeeded() const;
  [[nodiscard]] std::uint64_t rank() const;
  [[nodiscard]] FleetOutlook outlook() const;
  /// @brief Starts or ends allocating, as the lease says.
  void updateAllocator();
  void publishAllocator();
  boost::asio::awaitable<void> performAction(LeaseAction Action);
  boost::asio::awaitable<void> readLease();
  boost::asio::awaitable<void> writeLease(WriteLease Action);
  /// @return The revision of the lease that was written, if that is certain.
  boost::asio::awaitable<std::optional<StoreRevision>>
  sendWrite(WriteLease Action);

  boost::asio::io_context &m_Context;
  adapter::StoreClient &m_Store;
  FleetState &m_State;
  EventLog &m_Log;
  QuotaOptions m_Options;
  Describe m_Self;
  OnKnown m_OnKnown;
  AllocatorLease m_Lease;
  std::optional<QuotaAllocator> m_Allocator;
  /// Term of m_Allocator, and the configuration that it follows.
  std::uint64_t m_Term = 0;
  std::uint64_t m_ConfigVersion = 0;
  std::optional<AllocatorRecord> m_Published;
  std::optional<BootTime> m_HeardAt; ///< Latest heartbeat of another VM.
  bool m_IsStopping = false;
  QuotaCounts m_Counts;
};

} // namespace carawaypond::gateway
