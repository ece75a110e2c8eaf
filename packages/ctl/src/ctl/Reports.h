#pragma once

#include "core/id/Ids.h"
#include "ctl/Report.h"
#include "ctl/RequestOutcome.h"
#include "http/Response.h"

#include <string>

namespace carawaypond::ctl {

/// @brief Reports a failure that carawayctl detected itself.
[[nodiscard]] Report failureReport(ExitCode Code, const std::string &Outcome,
                                   const std::string &Message);

/// @brief Reports the outcome of a request that is not a submission.
[[nodiscard]] Report responseReport(const RequestOutcome &Outcome);

/// @brief Reports an answer that decides the outcome of a submission.
[[nodiscard]] Report submissionReport(const http::Response &Answer);

/// @brief Reports a submission whose outcome is unknown.
[[nodiscard]] Report unknownReport(const ServiceName &Name,
                                   const SubmissionId &Id,
                                   const std::string &Reason);

/// @return Whether @p Answer, the answer to the submission itself, decides its
/// outcome.
[[nodiscard]] bool isConclusive(const http::Response &Answer);

/// @return Whether @p Answer, the answer to a status request for a submission,
/// contains its final outcome.
[[nodiscard]] bool hasFinalOutcome(const http::Response &Answer);

} // namespace carawaypond::ctl
