#pragma once

#include "core/time/Time.h"
#include "peer/loop/IncarnationRegistry.h"
#include "peer/loop/PeerCounters.h"
#include "peer/loop/TaskQueue.h"
#include "peer/node/PeerHandlers.h"
#include "peer/node/PeerOptions.h"

#include <capnp/message.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>

namespace carawaypond::peer {

/// @brief State shared by the RPC links and sessions; used only on the control
/// thread.
struct LoopContext {
  kj::Network &Network;
  kj::Timer &Timer;
  const PeerOptions &Options;
  const PeerHandlers &Handlers;
  PeerCounters &Counters;
  IncarnationRegistry &Incarnations;
  std::shared_ptr<TaskQueue> Queue;
  std::mt19937_64 Random{std::random_device{}()};
};

/// @return @p Span as a KJ duration.
[[nodiscard]] inline kj::Duration toKj(Duration Span) {
  auto Nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(Span);
  return Nanos.count() * kj::NANOSECONDS;
}

/// Ratio of the read limit (traversal limit) to the maximum message size. 2,
/// since some fields are read twice.
inline constexpr std::uint64_t ReadLimitFactor = 2;

/// @return Cap'n Proto read limits, for inbound and outgoing connections.
[[nodiscard]] inline capnp::ReaderOptions
readerOptions(const PeerOptions &Options) {
  capnp::ReaderOptions Reader;
  Reader.traversalLimitInWords =
      ReadLimitFactor * Options.MaxMessageBytes / sizeof(capnp::word);
  return Reader;
}

} // namespace carawaypond::peer
