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

/// @return The number of leading objects whose encoding fits into @p MaxBytes.
[[nodiscard]] std::size_t countThatFit(const std::vector<StoredObject> &Objects,
                                       std::size_t MaxBytes);
/// @brief Writes the leading objects, as many as @p Out has elements.
void writeObjects(const std::vector<StoredObject> &Objects,
                  WireObjects::Builder Out);
[[nodiscard]] std::vector<StoredObject> readObjects(WireObjects::Reader In);

} // namespace carawaypond::peer
