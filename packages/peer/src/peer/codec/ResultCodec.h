#pragma once

#include "peer/message/PeerResult.h"
#include "peer/schema/Peer.capnp.h"

#include <cstddef>

namespace carawaypond::peer {

void writeResult(const PeerResult &Result, wire::SubrequestResult::Builder Out);

/// @brief Reads a result. An outcome that this version does not know is in
/// doubt.
[[nodiscard]] PeerResult readResult(wire::SubrequestResult::Reader In);

/// @return An upper bound of the result's size on the wire.
[[nodiscard]] std::size_t wireBytes(const PeerResult &Result);

} // namespace carawaypond::peer
