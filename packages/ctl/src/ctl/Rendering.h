#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace carawaypond::ctl {

/// @brief Renders an answer as text: each list of objects becomes a table, a
/// service's content stays JSON, and every other field takes one line.
[[nodiscard]] std::string renderAnswer(const nlohmann::json &Body);

} // namespace carawaypond::ctl
