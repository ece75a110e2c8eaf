#pragma once

#include "ctl/ExitCode.h"

#include <string>

namespace carawaypond::ctl {

/// @brief What a command found out.
struct Report {
  ExitCode Code = ExitCode::Ok;
  std::string Raw;  ///< JSON, printed with --json.
  std::string Text; ///< For people, printed otherwise.
};

} // namespace carawaypond::ctl
