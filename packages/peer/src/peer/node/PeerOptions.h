#pragma once

#include "core/time/Time.h"
#include "peer/message/PeerIdentity.h"

#include <cstddef>
#include <string>

namespace carawaypond::peer {

/// @brief Addresses, timeouts and limits of a PeerNode.
struct PeerOptions {
  PeerIdentity Self{};
  std::string ListenAddress{}; ///< "ip:port"; port 0 lets the system pick one.

  Duration ConnectTimeout = Milliseconds(1000); ///< Includes the hello.
  Duration HelloTimeout = Milliseconds(2000);   ///< Inbound connections.
  Duration BackoffFirst = Milliseconds(50);
  Duration BackoffMax = Milliseconds(2000);
  /// How long after its deadline a subrequest's result is still awaited.
  Duration ResultGrace = Milliseconds(500);

  std::size_t MaxMessageBytes = std::size_t{16} * 1024 * 1024;
  /// Maximum bytes per connection that are buffered for writing. Above it, new
  /// subrequests are refused, and the connection of a coordinator that does not
  /// read its results is closed.
  std::size_t MaxQueuedBytes = std::size_t{64} * 1024 * 1024;
  std::size_t MaxQueuedCalls = 1024; ///< Per peer, while connecting.
  std::size_t MaxOutstandingSubrequests = 65'536; ///< Per connection.
  std::size_t MaxOutstandingCalls = 256;          ///< Fetches and queries.
  std::size_t MaxInboundConnections = 4096;       ///< Per protocol.

  /// @return Size limit of a batch, or of results sent in one message. Leaves
  /// room for the rest of the message.
  [[nodiscard]] std::size_t maxBatchBytes() const {
    return MaxMessageBytes / 2;
  }
};

} // namespace carawaypond::peer
