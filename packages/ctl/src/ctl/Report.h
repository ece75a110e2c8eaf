#pragma once

#include "ctl/ExitCode.h"

#include <string>

namespace carawaypond::ctl {

/// @brief The result of a command.
struct Report {
  ExitCode Code = ExitCode::Ok;
  std::string Raw;  ///< JSON, printed with --json.
  std::string Text; ///< Human-readable, printed without --json.
};

} // namespace carawaypond::ctl
