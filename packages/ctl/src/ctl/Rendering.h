#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace carawaypond::ctl {

/// @brief Writes any answer for people: each list of objects becomes a table,
/// a service's content stays JSON, all else is one line a field.
[[nodiscard]] std::string renderAnswer(const nlohmann::json &Body);

} // namespace carawaypond::ctl
