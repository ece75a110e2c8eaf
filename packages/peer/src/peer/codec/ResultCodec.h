#pragma once

#include "peer/message/PeerResult.h"
#include "peer/schema/Peer.capnp.h"

#include <cstddef>

namespace carawaypond::peer {

void writeResult(const PeerResult &Result, wire::SubrequestResult::Builder Out);

/// @brief Reads a result. Unknown outcomes, sent by other software versions,
/// are read as InDoubt.
[[nodiscard]] PeerResult readResult(wire::SubrequestResult::Reader In);

/// @return Upper bound of the encoded size of the result.
[[nodiscard]] std::size_t wireBytes(const PeerResult &Result);

} // namespace carawaypond::peer
