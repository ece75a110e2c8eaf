#pragma once

#include "coordination/model/JsonReader.h"
#include "core/id/StoreRevision.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace carawaypond::gateway {

/// @brief Adds the field @p Key, and one for the era if the store names it.
void addRevision(nlohmann::json &Body, const std::string &Key,
                 StoreRevision Revision);
/// @brief Reads the fields. @p Reader fails if there is no number. A VM of an
/// earlier release names no era.
[[nodiscard]] StoreRevision readRevision(JsonReader &Reader,
                                         const std::string &Key);

} // namespace carawaypond::gateway
