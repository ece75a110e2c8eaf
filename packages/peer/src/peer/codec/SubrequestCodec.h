#pragma once

#include "core/outcome/Result.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/schema/Peer.capnp.h"

#include <cstddef>
#include <vector>

namespace carawaypond::peer {

/// @brief Writes a batch; request texts that are shared are written once.
void writeBatch(const std::vector<PeerSubrequest> &Batch,
                wire::Batch::Builder Out);

/// @brief Reads what writeBatch() wrote.
/// @return The subrequests, or Malformed when one names no request.
[[nodiscard]] Result<std::vector<PeerSubrequest>>
readBatch(wire::Batch::Reader In);

/// @return An upper bound of the batch's size on the wire.
[[nodiscard]] std::size_t wireBytes(const std::vector<PeerSubrequest> &Batch);

} // namespace carawaypond::peer
