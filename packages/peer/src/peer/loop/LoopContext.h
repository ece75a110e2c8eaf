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

/// @brief What links and sessions share; used on the node's thread alone.
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

/// @return @p Span in KJ's unit.
[[nodiscard]] inline kj::Duration toKj(Duration Span) {
  auto Nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(Span);
  return Nanos.count() * kj::NANOSECONDS;
}

/// Limits what is read of a message to this many times the size that may be
/// sent, since some fields are read twice.
inline constexpr std::uint64_t ReadLimitFactor = 2;

/// @return How much of a message is read at most, for either direction.
[[nodiscard]] inline capnp::ReaderOptions
readerOptions(const PeerOptions &Options) {
  capnp::ReaderOptions Reader;
  Reader.traversalLimitInWords =
      ReadLimitFactor * Options.MaxMessageBytes / sizeof(capnp::word);
  return Reader;
}

} // namespace carawaypond::peer
