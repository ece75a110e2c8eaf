#include "ctl/Submitter.h"

#include "ctl/Reports.h"

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

/// Interval between two status requests for a submission whose outcome is
/// unknown.
constexpr Milliseconds OutcomePollInterval{200};

} // namespace

awaitable<Report> Submitter::submit(Submission Change, TimePoint Deadline) {
  http::Request Copy = Change.Request;
  RequestOutcome Outcome = co_await m_Client.submit(std::move(Copy), Deadline);
  if (const auto *NotRun = std::get_if<RequestNotRun>(&Outcome))
    co_return failureReport(ExitCode::Unreached, "not_run", NotRun->Reason);
  std::string Reason;
  if (const auto *Lost = std::get_if<AnswerLost>(&Outcome)) {
    Reason = Lost->Cause.Message;
  } else {
    const http::Response &Answer = std::get<Answered>(Outcome).Answer;
    if (isConclusive(Answer))
      co_return submissionReport(Answer);
    Reason = "status " + std::to_string(Answer.Status) + " " + Answer.Body;
  }
  co_return co_await pollOutcome(std::move(Change), std::move(Reason),
                                 Deadline);
}

awaitable<Report> Submitter::pollOutcome(Submission Change, std::string Reason,
                                         TimePoint Deadline) {
  while (monotonicNow() < Deadline) {
    http::Request Request = makeStatusRequest(Change.Name, Change.Id);
    RequestOutcome Outcome =
        co_await m_Client.read(std::move(Request), Deadline);
    const auto *Response = std::get_if<Answered>(&Outcome);
    if (Response != nullptr && hasFinalOutcome(Response->Answer))
      co_return submissionReport(Response->Answer);
    co_await m_Client.pause(OutcomePollInterval);
  }
  co_return unknownReport(Change.Name, Change.Id, Reason);
}

awaitable<Report> Submitter::queryOutcome(ServiceName Name, SubmissionId Id,
                                          TimePoint Deadline) {
  http::Request Request = makeStatusRequest(Name, Id);
  RequestOutcome Outcome = co_await m_Client.read(std::move(Request), Deadline);
  const auto *Response = std::get_if<Answered>(&Outcome);
  if (Response == nullptr || Response->Answer.Status >= 300)
    co_return responseReport(Outcome);
  Report StatusReport = submissionReport(Response->Answer);
  if (!hasFinalOutcome(Response->Answer))
    StatusReport.Code = ExitCode::Unknown;
  co_return StatusReport;
}

} // namespace carawaypond::ctl
