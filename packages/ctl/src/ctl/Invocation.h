#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"
#include "ctl/Command.h"

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Options that every command takes.
struct GlobalOptions {
  std::vector<std::string> Operators; ///< "ip:port" of VMs' operators' ports.
  bool Json = false;
  Milliseconds Timeout{10'000};
  SubmissionId Submission; ///< Empty unless the operator chose one.
};

/// @brief A command line that has been read.
struct Invocation {
  GlobalOptions Options;
  Command Wanted;
};

} // namespace carawaypond::ctl
