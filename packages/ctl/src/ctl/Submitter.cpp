#include "ctl/Submitter.h"

#include "ctl/Reports.h"

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

/// Pause between two rounds of questions about a submission in doubt.
constexpr Milliseconds QuestionPause{200};

} // namespace

awaitable<Report> Submitter::submit(Submission Made, TimePoint Deadline) {
  http::Request Copy = Made.Asked;
  Exchange Ended = co_await m_Client.submit(std::move(Copy), Deadline);
  if (const auto *None = std::get_if<NotTaken>(&Ended))
    co_return failureReport(ExitCode::Unreached, "not_run", None->Why);
  std::string Why;
  if (const auto *Lost = std::get_if<AnswerLost>(&Ended)) {
    Why = Lost->Cause.Message;
  } else {
    const http::Response &Answer = std::get<Answered>(Ended).Answer;
    if (isSettled(Answer))
      co_return settledReport(Answer);
    Why = "status " + std::to_string(Answer.Status) + " " + Answer.Body;
  }
  co_return co_await settle(std::move(Made), std::move(Why), Deadline);
}

awaitable<Report> Submitter::settle(Submission Made, std::string Why,
                                    TimePoint Deadline) {
  while (monotonicNow() < Deadline) {
    http::Request Asked = makeQuestion(Made.Name, Made.Id);
    Exchange Ended = co_await m_Client.read(std::move(Asked), Deadline);
    const auto *Got = std::get_if<Answered>(&Ended);
    if (Got != nullptr && namesOutcome(Got->Answer))
      co_return settledReport(Got->Answer);
    co_await m_Client.pause(QuestionPause);
  }
  co_return unknownReport(Made.Name, Made.Id, Why);
}

awaitable<Report> Submitter::ask(ServiceName Name, SubmissionId Id,
                                 TimePoint Deadline) {
  http::Request Asked = makeQuestion(Name, Id);
  Exchange Ended = co_await m_Client.read(std::move(Asked), Deadline);
  const auto *Got = std::get_if<Answered>(&Ended);
  if (Got == nullptr || Got->Answer.Status >= 300)
    co_return viewReport(Ended);
  Report Made = settledReport(Got->Answer);
  if (!namesOutcome(Got->Answer))
    Made.Code = ExitCode::Unknown;
  co_return Made;
}

} // namespace carawaypond::ctl
