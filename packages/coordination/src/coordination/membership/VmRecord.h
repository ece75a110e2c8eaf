#pragma once

#include "core/id/Ids.h"

#include <cstdint>
#include <string>

namespace carawaypond {

/// @brief State of a VM as seen by another VM.
enum class VmState : std::uint8_t {
  Live,    ///< Heard of recently; may own replicas.
  Suspect, ///< Silent for longer than its timeout; owns nothing.
  Leaving, ///< Announced its stop; owns nothing, still answers.
  Gone,    ///< Stopped, replaced by a later incarnation, or silent for long.
};

/// @brief What is known about one incarnation of a VM.
struct VmRecord {
  VmName Name;
  Incarnation IncarnationNumber;
  DataCentre Centre;
  std::string PeerAddress;     ///< "ip:port" for other daemons.
  std::string CallerAddress;   ///< "ip:port" for callers.
  std::string OperatorAddress; ///< "ip:port" for operators.
  VmState State = VmState::Live;
  std::uint64_t Counter = 0; ///< Heartbeat counter within this life.
  std::uint64_t AgeMillis =
      0; ///< Upper bound of the time since that heartbeat.

  friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

} // namespace carawaypond
