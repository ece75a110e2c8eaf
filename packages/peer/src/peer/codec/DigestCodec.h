#pragma once

#include "coordination/membership/Digest.h"
#include "peer/schema/Peer.capnp.h"

namespace carawaypond::peer {

void writeDigest(const Digest &Digest, wire::Digest::Builder Out);

/// @brief Reads a digest. A state that this version does not know reads as
/// suspect.
[[nodiscard]] Digest readDigest(wire::Digest::Reader In);

} // namespace carawaypond::peer
