#pragma once

#include "gateway/control/FleetState.h"
#include "gateway/peers/Beat.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <vector>

namespace carawaypond::gateway {

/// @brief Fetches from another VM what the store can't tell now.
///
/// Answers outages and partitions of the store: a VM that started without it,
/// or hears that another VM knows something newer, asks that VM.
class PeerFetcher {
public:
  /// Where VMs answer each other.
  static constexpr const char *Path = "/v1/state";

  /// @param MaxAge How old what this VM knows may be before it asks others.
  PeerFetcher(boost::asio::io_context &Context, FleetState &State,
              Milliseconds MaxAge, EventLog &Log, std::string OwnAddress,
              std::vector<std::string> Seeds);

  /// @brief Asks seeds, then known VMs, until this VM is ready.
  boost::asio::awaitable<void> runUntilReady();
  /// @brief Takes a heartbeat; asks its sender if it knows more.
  void onBeat(const Beat &Heard);

private:
  [[nodiscard]] std::vector<std::string> addresses() const;
  boost::asio::awaitable<void> fetch(std::string Address);

  boost::asio::io_context &m_Context;
  FleetState &m_State;
  Milliseconds m_MaxAge;
  EventLog &m_Log;
  std::string m_OwnAddress;
  std::vector<std::string> m_Seeds;
  bool m_IsFetching = false;
  /// Since when another VM has had a newer configuration.
  std::optional<TimePoint> m_BehindSince;
};

} // namespace carawaypond::gateway
