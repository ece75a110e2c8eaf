#pragma once

#include "peer/message/StoredObject.h"
#include "peer/schema/Peer.capnp.h"

#include <cstddef>
#include <string>
#include <vector>

namespace carawaypond::peer {

using WireNames = capnp::List<capnp::Text>;
using WireObjects = capnp::List<wire::StoredObject>;

void writeNames(const std::vector<std::string> &Names, WireNames::Builder Out);
[[nodiscard]] std::vector<std::string> readNames(WireNames::Reader In);

/// @return How many of the first objects fit into @p MaxBytes on the wire.
[[nodiscard]] std::size_t countThatFit(const std::vector<StoredObject> &Objects,
                                       std::size_t MaxBytes);
/// @brief Writes as many of the first objects as @p Out has room for.
void writeObjects(const std::vector<StoredObject> &Objects,
                  WireObjects::Builder Out);
[[nodiscard]] std::vector<StoredObject> readObjects(WireObjects::Reader In);

} // namespace carawaypond::peer
