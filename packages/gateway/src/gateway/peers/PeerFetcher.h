#pragma once

#include "gateway/control/FleetState.h"
#include "gateway/peers/Heartbeat.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <vector>

namespace carawaypond::gateway {

/// @brief Fetches state from other VMs while the store is unreachable.
///
/// Covers outages and partitions of the store: a VM that starts without the
/// store, or whose peer sends a heartbeat with newer versions or presumes more
/// replicas to live, fetches the peer's state.
class PeerFetcher {
public:
  /// Path under which VMs serve their state to each other.
  static constexpr const char *Path = "/v2/state";

  /// @param MaxAge Maximum age of this VM's data before it fetches from others.
  /// @param Seeds Peer addresses to try before any VM is known.
  PeerFetcher(boost::asio::io_context &Context, FleetState &State,
              Milliseconds MaxAge, EventLog &Log, std::string OwnAddress,
              std::vector<std::string> Seeds);

  /// @brief Queries the seeds, then the known VMs, until this VM is ready.
  boost::asio::awaitable<void> runUntilReady();
  /// @brief Handles a heartbeat; fetches the sender's state if it is newer.
  void onHeartbeat(const Heartbeat &Heard);

private:
  [[nodiscard]] std::vector<std::string> addresses() const;
  /// @return Whether the sender may know replicas that are missing here because
  /// of an outage of the store.
  [[nodiscard]] bool presumesMore(const Heartbeat &Heard, TimePoint Now) const;
  boost::asio::awaitable<void> fetch(std::string Address);

  boost::asio::io_context &m_Context;
  FleetState &m_State;
  Milliseconds m_MaxAge;
  EventLog &m_Log;
  std::string m_OwnAddress;
  std::vector<std::string> m_Seeds;
  bool m_IsFetching = false;
  /// When presumed replicas were last fetched from another VM.
  std::optional<TimePoint> m_PresumedFetchedAt;
  /// Since when another VM has had a newer configuration.
  std::optional<TimePoint> m_ConfigBehindSince;
};

} // namespace carawaypond::gateway
