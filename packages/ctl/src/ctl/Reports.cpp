#include "ctl/Reports.h"

#include "ctl/Rendering.h"

#include <nlohmann/json.hpp>

#include <map>

namespace carawaypond::ctl {

using Json = nlohmann::json;

namespace {

Json parseBody(const http::Response &Answer) {
  Json Body = Json::parse(Answer.Body, nullptr, false);
  return Body.is_discarded() ? Json(Answer.Body) : Body;
}

std::string fieldOf(const Json &Body, const char *Key) {
  if (!Body.is_object() || !Body.contains(Key) || !Body[Key].is_string())
    return "";
  return Body[Key].get<std::string>();
}

/// @return The exit code for an HTTP error status; Unknown if the status does
/// not tell whether the request was run.
ExitCode refusalCode(unsigned Status) {
  static const std::map<unsigned, ExitCode> Codes = {
      {400, ExitCode::Invalid},  {404, ExitCode::NotFound},
      {409, ExitCode::Stale},    {413, ExitCode::Invalid},
      {422, ExitCode::Invalid},  {408, ExitCode::Unreached},
      {429, ExitCode::Unreached}};
  auto Found = Codes.find(Status);
  return Found == Codes.end() ? ExitCode::Unknown : Found->second;
}

/// @return The exit code for a submission with the outcome "refused".
ExitCode refusalCode(const Json &Body) {
  return fieldOf(Body, "reason") == "invalid" ? ExitCode::Invalid
                                              : ExitCode::Stale;
}

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

} // namespace

Report failureReport(ExitCode Code, const std::string &Outcome,
                     const std::string &Message) {
  Json Body = {{"outcome", Outcome}, {"message", Message}};
  return {.Code = Code,
          .Raw = Body.dump(-1, ' ', false, Json::error_handler_t::replace),
          .Text = Outcome + ": " + Message + "\n"};
}

Report responseReport(const RequestOutcome &Outcome) {
  if (const auto *NotRun = std::get_if<RequestNotRun>(&Outcome))
    return failureReport(ExitCode::Unreached, "not_run", NotRun->Reason);
  if (const auto *Lost = std::get_if<AnswerLost>(&Outcome))
    return failureReport(ExitCode::Unknown, "unknown", Lost->Cause.Message);
  const http::Response &Answer = std::get<Answered>(Outcome).Answer;
  ExitCode Code =
      isSuccess(Answer.Status) ? ExitCode::Ok : refusalCode(Answer.Status);
  return {.Code = Code,
          .Raw = Answer.Body,
          .Text = renderAnswer(parseBody(Answer))};
}

bool isConclusive(const http::Response &Answer) {
  return hasFinalOutcome(Answer) ||
         refusalCode(Answer.Status) != ExitCode::Unknown;
}

bool hasFinalOutcome(const http::Response &Answer) {
  if (!isSuccess(Answer.Status))
    return false;
  std::string Outcome = fieldOf(parseBody(Answer), "outcome");
  return Outcome == "accepted" || Outcome == "refused";
}

Report submissionReport(const http::Response &Answer) {
  Json Body = parseBody(Answer);
  ExitCode Code = ExitCode::Ok;
  if (!isSuccess(Answer.Status))
    Code = refusalCode(Answer.Status);
  else if (fieldOf(Body, "outcome") == "refused")
    Code = refusalCode(Body);
  return {.Code = Code, .Raw = Answer.Body, .Text = renderAnswer(Body)};
}

Report unknownReport(const ServiceName &Name, const SubmissionId &Id,
                     const std::string &Reason) {
  return failureReport(ExitCode::Unknown, "unknown",
                       Reason + "; ask with: submission " + Name.value() + " " +
                           Id.value());
}

} // namespace carawaypond::ctl
