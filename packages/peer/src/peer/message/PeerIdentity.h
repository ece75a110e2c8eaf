#pragma once

#include "core/id/Ids.h"

namespace carawaypond::peer {

/// @brief One life of one VM's daemon, as it introduces itself.
struct PeerIdentity {
  VmName Vm{};
  Incarnation Life{};

  friend bool operator==(const PeerIdentity &, const PeerIdentity &) = default;
};

} // namespace carawaypond::peer
