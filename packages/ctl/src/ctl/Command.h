#pragma once

#include "core/id/Ids.h"

#include <optional>
#include <string>
#include <variant>

namespace carawaypond::ctl {

struct ShowHelp {};
struct ShowVersion {};

/// @brief Creates the service that @p File describes.
struct CreateService {
  std::string File;
};

/// @brief Applies the JSON Merge Patch in @p File; "-" reads standard input.
struct PatchService {
  ServiceName Name;
  ConfigVersion Version;
  std::string File;
};

/// @brief Deletes a service if @p Version is still its current version.
struct DeleteService {
  ServiceName Name;
  ConfigVersion Version;
};

/// @brief Waits until a version is in force on every live VM.
struct WaitForService {
  ServiceName Name;
  ConfigVersion Version;
};

/// @brief Shows the outcome of a submission.
struct ShowSubmission {
  ServiceName Name;
  SubmissionId Id;
};

/// @brief Shows a read-only view of a VM's state.
struct ShowView {
  std::string Path;  ///< Request path on the operators' port.
  std::string Query; ///< Query string without the question mark.
};

/// @brief Requests a graceful stop of the VM at the single --operator address.
struct StopVm {};

/// @brief Checks a configuration document; "-" reads standard input.
struct CheckConfig {
  std::string File;
  std::optional<std::string> InForce; ///< Document to compare with.
};

/// @brief The command that a command line requests.
using Command = std::variant<ShowHelp, ShowVersion, CreateService, PatchService,
                             DeleteService, WaitForService, ShowSubmission,
                             ShowView, StopVm, CheckConfig>;

} // namespace carawaypond::ctl
