#pragma once

#include "core/id/Ids.h"
#include "ctl/Exchange.h"
#include "ctl/Report.h"
#include "http/Response.h"

#include <string>

namespace carawaypond::ctl {

/// @brief Reports a failure that this side found.
[[nodiscard]] Report failureReport(ExitCode Code, const std::string &Outcome,
                                   const std::string &Message);

/// @brief Reports an answer to a request that changes nothing.
[[nodiscard]] Report viewReport(const Exchange &Ended);

/// @brief Reports an answer that settles a submission.
[[nodiscard]] Report settledReport(const http::Response &Answer);

/// @brief Reports a submission whose outcome is not known.
[[nodiscard]] Report unknownReport(const ServiceName &Name,
                                   const SubmissionId &Id,
                                   const std::string &Why);

/// @return Whether @p Answer, given to the submission itself, settles it.
[[nodiscard]] bool isSettled(const http::Response &Answer);

/// @return Whether @p Answer, given to a question about a submission, says
/// what became of it.
[[nodiscard]] bool namesOutcome(const http::Response &Answer);

} // namespace carawaypond::ctl
