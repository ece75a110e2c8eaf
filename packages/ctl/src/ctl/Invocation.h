#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"
#include "ctl/Command.h"

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Options that every command accepts.
struct GlobalOptions {
  std::vector<std::string> Operators; ///< Operators' ports of VMs, "ip:port".
  bool Json = false;
  Milliseconds Timeout{10'000};
  SubmissionId Submission; ///< Empty unless the operator chose one.
};

/// @brief A parsed command line.
struct Invocation {
  GlobalOptions Options;
  Command RequestedCommand;
};

} // namespace carawaypond::ctl
