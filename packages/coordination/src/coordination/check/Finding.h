#pragma once

#include "coordination/check/ConfigPlace.h"

#include <string>

namespace carawaypond {

/// @brief What a finding means for the configuration.
enum class Severity {
  Error,         ///< An entry is rejected, ignored or can't be served.
  Contradiction, ///< Limits that can't hold together.
  Warning,       ///< An entry that has no effect.
  Change,        ///< A difference from the configuration in force.
};

/// @brief One result of a check. It never holds a key.
struct Finding {
  Severity Level = Severity::Error;
  ConfigPlace Place;
  std::string Message; ///< One line.
};

} // namespace carawaypond
