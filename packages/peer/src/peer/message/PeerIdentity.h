#pragma once

#include "core/id/Ids.h"

namespace carawaypond::peer {

/// @brief Identifies one incarnation (one start) of a VM's daemon. Sent in the
/// hello of each connection.
struct PeerIdentity {
  VmName Vm{};
  Incarnation IncarnationNumber{};

  friend bool operator==(const PeerIdentity &, const PeerIdentity &) = default;
};

} // namespace carawaypond::peer
