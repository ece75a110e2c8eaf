#pragma once

#include <cstdint>

namespace carawaypond::peer {

/// @brief A PeerNode's counters since its start.
struct PeerStats {
  std::uint64_t ConnectionsOpened = 0; ///< Outgoing, hello included.
  std::uint64_t ConnectsFailed = 0;
  std::uint64_t ConnectionsLost = 0;   ///< Outgoing, after the hello.
  std::uint64_t InboundAccepted = 0;   ///< Connections that said hello.
  std::uint64_t InboundRejected = 0;   ///< Connections without a valid hello.
  std::uint64_t InboundOverrun = 0;    ///< Dropped: results were not taken.
  std::uint64_t StaleIncarnations = 0; ///< Calls of or for a former life.
  std::uint64_t CallsRefused = 0;      ///< Over a limit, on either side.
  std::uint64_t ExchangesTimedOut = 0;
  std::uint64_t SubrequestsSent = 0;
  std::uint64_t ResultsReceived = 0;
  std::uint64_t ResultsUnexpected = 0; ///< Late, doubled or never asked for.
};

} // namespace carawaypond::peer
