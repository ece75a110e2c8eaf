#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "ctl/Command.h"
#include "http/Request.h"

#include <string>

namespace carawaypond::ctl {

/// @brief A change to a service, with the request that submits it.
struct Submission {
  ServiceName Name;
  SubmissionId Id;
  http::Request Request;
};

/// @param Content The service's content as JSON text.
/// @return The submission, or InvalidInput.
[[nodiscard]] Result<Submission> makeCreation(const std::string &Content,
                                              const SubmissionId &Id);

/// @param Patch The JSON Merge Patch as text.
/// @return The submission, or InvalidInput.
[[nodiscard]] Result<Submission> makePatch(const PatchService &Command,
                                           const std::string &Patch,
                                           const SubmissionId &Id);

[[nodiscard]] Submission makeDeletion(const DeleteService &Command,
                                      const SubmissionId &Id);

/// @return The request for the outcome of a submission.
[[nodiscard]] http::Request makeStatusRequest(const ServiceName &Name,
                                              const SubmissionId &Id);

} // namespace carawaypond::ctl
