#pragma once

#include <cstdint>

namespace carawaypond::peer {

/// @brief Counters of a PeerNode since its start.
struct PeerStats {
  std::uint64_t ConnectionsOpened = 0; ///< Outgoing, hello completed.
  std::uint64_t ConnectsFailed = 0;
  std::uint64_t ConnectionsLost = 0; ///< Outgoing, after the hello.
  std::uint64_t InboundAccepted = 0; ///< Connections with an accepted hello.
  std::uint64_t InboundRejected = 0; ///< Connections without a valid hello.
  std::uint64_t InboundOverrun = 0;  ///< Closed: peer did not read its results.
  std::uint64_t StaleIncarnations = 0; ///< From or for an outdated incarnation.
  std::uint64_t CallsRefused = 0;      ///< Over a limit, as client or server.
  std::uint64_t ExchangesTimedOut = 0;
  std::uint64_t SubrequestsSent = 0;
  std::uint64_t ResultsReceived = 0;
  std::uint64_t ResultsUnexpected = 0; ///< Late, duplicate or unknown id.
};

} // namespace carawaypond::peer
