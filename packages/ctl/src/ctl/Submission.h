#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "ctl/Command.h"
#include "http/Request.h"

#include <string>

namespace carawaypond::ctl {

/// @brief A change to a service, ready to be sent.
struct Submission {
  ServiceName Name;
  SubmissionId Id;
  http::Request Asked;
};

/// @param Content The service's content as JSON text.
/// @return The submission, or InvalidInput.
[[nodiscard]] Result<Submission> makeCreation(const std::string &Content,
                                              const SubmissionId &Id);

/// @param Patch A JSON Merge Patch as text.
/// @return The submission, or InvalidInput.
[[nodiscard]] Result<Submission> makePatch(const PatchService &Wanted,
                                           const std::string &Patch,
                                           const SubmissionId &Id);

[[nodiscard]] Submission makeDeletion(const DeleteService &Wanted,
                                      const SubmissionId &Id);

/// @return The request that asks what became of a submission.
[[nodiscard]] http::Request makeQuestion(const ServiceName &Name,
                                         const SubmissionId &Id);

} // namespace carawaypond::ctl
