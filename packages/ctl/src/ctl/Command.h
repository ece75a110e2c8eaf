#pragma once

#include "core/id/Ids.h"

#include <string>
#include <variant>

namespace carawaypond::ctl {

struct ShowHelp {};
struct ShowVersion {};

/// @brief Creates the service that @p File describes.
struct CreateService {
  std::string File;
};

/// @brief Applies the JSON Merge Patch in @p File; "-" is standard input.
struct PatchService {
  ServiceName Name;
  ConfigVersion Version;
  std::string File;
};

/// @brief Deletes a service, if it still has that version.
struct DeleteService {
  ServiceName Name;
  ConfigVersion Version;
};

/// @brief Waits until a version is in force on every live VM.
struct WaitForService {
  ServiceName Name;
  ConfigVersion Version;
};

/// @brief Asks what became of a submission.
struct ShowSubmission {
  ServiceName Name;
  SubmissionId Id;
};

/// @brief Shows what a VM knows.
struct ShowView {
  std::string Path;  ///< Of the operators' port.
  std::string Query; ///< Without the question mark.
};

/// @brief Asks the VM at the one --operator address to stop gracefully.
struct StopVm {};

/// @brief What the command line asks for.
using Command = std::variant<ShowHelp, ShowVersion, CreateService, PatchService,
                             DeleteService, WaitForService, ShowSubmission,
                             ShowView, StopVm>;

} // namespace carawaypond::ctl
