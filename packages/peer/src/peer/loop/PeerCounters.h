#pragma once

#include "peer/node/PeerStats.h"

#include <atomic>
#include <cstdint>

namespace carawaypond::peer {

/// @brief Atomic counters behind PeerStats, written by the control and the
/// traffic thread.
struct PeerCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter ConnectionsOpened = 0;
  Counter ConnectsFailed = 0;
  Counter ConnectionsLost = 0;
  Counter InboundAccepted = 0;
  Counter InboundRejected = 0;
  Counter InboundOverrun = 0;
  Counter StaleIncarnations = 0;
  Counter CallsRefused = 0;
  Counter ExchangesTimedOut = 0;
  Counter SubrequestsSent = 0;
  Counter ResultsReceived = 0;
  Counter ResultsUnexpected = 0;

  [[nodiscard]] PeerStats snapshot() const {
    return {.ConnectionsOpened = ConnectionsOpened,
            .ConnectsFailed = ConnectsFailed,
            .ConnectionsLost = ConnectionsLost,
            .InboundAccepted = InboundAccepted,
            .InboundRejected = InboundRejected,
            .InboundOverrun = InboundOverrun,
            .StaleIncarnations = StaleIncarnations,
            .CallsRefused = CallsRefused,
            .ExchangesTimedOut = ExchangesTimedOut,
            .SubrequestsSent = SubrequestsSent,
            .ResultsReceived = ResultsReceived,
            .ResultsUnexpected = ResultsUnexpected};
  }
};

} // namespace carawaypond::peer
