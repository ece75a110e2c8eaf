#pragma once

#include <kj/async-io.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace carawaypond::peer {

/// @brief Disables Nagle's algorithm, so that small messages are not delayed.
inline void setNoDelay(kj::AsyncIoStream &Stream) {
  int Enabled = 1;
  Stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
}

} // namespace carawaypond::peer
