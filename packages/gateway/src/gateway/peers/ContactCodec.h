#pragma once

#include "coordination/model/JsonReader.h"
#include "coordination/replicas/ContactAge.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace carawaypond::gateway {

/// @brief Reads an age in milliseconds; 0 if the field is missing.
[[nodiscard]] Milliseconds readAge(JsonReader &Reader, std::string_view Key);

/// @brief Adds the age of the proof of the configuration, if there is one.
void addProofAge(nlohmann::json &Body, const std::optional<Milliseconds> &Age);
/// @return std::nullopt if the field is missing.
[[nodiscard]] std::optional<Milliseconds> readProofAge(JsonReader &Reader);

/// @brief Adds the fields that tell when the store answered any VM.
void addContact(nlohmann::json &Body, const std::optional<ContactAge> &Contact);
/// @return std::nullopt if the fields are missing.
[[nodiscard]] std::optional<ContactAge> readContact(JsonReader &Reader);

} // namespace carawaypond::gateway
