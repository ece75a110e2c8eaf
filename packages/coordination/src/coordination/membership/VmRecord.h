#pragma once

#include "core/id/Ids.h"

#include <cstdint>
#include <string>

namespace carawaypond {

/// @brief What a VM is held to be.
enum class VmState : std::uint8_t {
  Live,    ///< Heard of recently; may own replicas.
  Suspect, ///< Silent for longer than its own pace explains; owns nothing.
  Leaving, ///< Said that it is stopping; owns nothing, still answers.
  Gone,    ///< Stopped, replaced by a later incarnation, or silent for long.
};

/// @brief What is known of one incarnation of one VM.
struct VmRecord {
  VmName Name;
  Incarnation Life;
  DataCentre Centre;
  std::string PeerAddress;     ///< "ip:port" for other daemons.
  std::string CallerAddress;   ///< "ip:port" for callers.
  std::string OperatorAddress; ///< "ip:port" for operators.
  VmState State = VmState::Live;
  std::uint64_t Counter = 0; ///< Heartbeats that it has made in this life.
  std::uint64_t AgeMillis =
      0; ///< Upper bound of the time since that heartbeat.

  friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

} // namespace carawaypond
