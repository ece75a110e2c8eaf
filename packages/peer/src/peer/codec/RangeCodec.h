#pragma once

#include "coordination/model/IndexObject.h"
#include "peer/schema/Peer.capnp.h"

#include <vector>

namespace carawaypond::peer {

using WireRanges = capnp::List<wire::VersionRange>;

/// @brief Writes @p Ranges into a list of the same length.
void writeRanges(const std::vector<VersionRange> &Ranges,
                 WireRanges::Builder Out);
[[nodiscard]] std::vector<VersionRange> readRanges(WireRanges::Reader In);

} // namespace carawaypond::peer
