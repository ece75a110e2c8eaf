#pragma once

#include "core/outcome/Result.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/schema/Peer.capnp.h"

#include <cstddef>
#include <vector>

namespace carawaypond::peer {

/// @brief Writes a batch. A request text shared by several subrequests is
/// written once.
void writeBatch(const std::vector<PeerSubrequest> &Batch,
                wire::Batch::Builder Out);

/// @brief Reads a batch written by writeBatch().
/// @return The subrequests, or Malformed if a request index is out of range.
[[nodiscard]] Result<std::vector<PeerSubrequest>>
readBatch(wire::Batch::Reader In);

/// @return Upper bound of the encoded size of the batch.
[[nodiscard]] std::size_t wireBytes(const std::vector<PeerSubrequest> &Batch);

} // namespace carawaypond::peer
