#pragma once

#include "coordination/membership/Digest.h"
#include "peer/schema/Peer.capnp.h"

namespace carawaypond::peer {

void writeDigest(const Digest &Digest, wire::Digest::Builder Out);

/// @brief Reads a digest. Unknown VM states, sent by other software versions,
/// are read as Suspect.
[[nodiscard]] Digest readDigest(wire::Digest::Reader In);

} // namespace carawaypond::peer
