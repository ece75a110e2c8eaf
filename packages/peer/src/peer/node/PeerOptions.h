#pragma once

#include "core/time/Time.h"
#include "peer/message/PeerIdentity.h"

#include <cstddef>
#include <string>

namespace carawaypond::peer {

/// @brief How a PeerNode listens, connects and limits.
struct PeerOptions {
  PeerIdentity Self{};
  std::string ListenAddress{}; ///< "ip:port"; port 0 lets the system pick one.

  Duration ConnectTimeout = Milliseconds(1000); ///< Includes the hello.
  Duration HelloTimeout = Milliseconds(2000);   ///< For those who connect here.
  Duration BackoffFirst = Milliseconds(50);
  Duration BackoffMax = Milliseconds(2000);
  /// How long past its deadline a subrequest's result is still awaited.
  Duration ResultGrace = Milliseconds(500);

  std::size_t MaxMessageBytes = std::size_t{16} * 1024 * 1024;
  /// Bytes of a connection that may wait in memory to be written. Above it new
  /// subrequests are refused, and a caller that takes no results is dropped.
  std::size_t MaxQueuedBytes = std::size_t{64} * 1024 * 1024;
  std::size_t MaxQueuedCalls = 1024; ///< Per peer, while connecting.
  std::size_t MaxOutstandingSubrequests = 65'536; ///< Per connection.
  std::size_t MaxOutstandingCalls = 256;    ///< Fetches and queries, likewise.
  std::size_t MaxInboundConnections = 4096; ///< Of each kind.

  /// @return The limit for a batch or for results sent together; leaves room
  /// for what a message holds besides.
  [[nodiscard]] std::size_t maxBatchBytes() const {
    return MaxMessageBytes / 2;
  }
};

} // namespace carawaypond::peer
