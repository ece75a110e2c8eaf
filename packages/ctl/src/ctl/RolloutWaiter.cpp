#include "ctl/RolloutWaiter.h"

#include "ctl/Reports.h"
#include "http/PercentCoding.h"

#include <nlohmann/json.hpp>

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

constexpr Milliseconds PollPause{200};

http::Request makeStatusRequest(const WaitForService &Target) {
  http::Request Request;
  Request.Path = "/v1/force/" + http::percentEncode(Target.Name.value());
  Request.Query = "version=" + std::to_string(Target.Version.value());
  return Request;
}

/// @return Whether the version is in force on every VM, and there is at least
/// one VM.
bool isInForceOnAllVms(const http::Response &Answer) {
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("vms") || !Body.contains("in_force"))
    return false;
  const nlohmann::json &Vms = Body["vms"];
  return Vms.is_number_unsigned() && Vms != 0 && Body["in_force"] == Vms;
}

} // namespace

awaitable<Report> RolloutWaiter::wait(WaitForService Target,
                                      TimePoint Deadline) {
  Report Last = failureReport(ExitCode::Unreached, "not_run", "no VM answered");
  while (monotonicNow() < Deadline) {
    http::Request Request = makeStatusRequest(Target);
    RequestOutcome Outcome =
        co_await m_Client.read(std::move(Request), Deadline);
    const auto *Response = std::get_if<Answered>(&Outcome);
    // If a later poll gets no answer, the last answer is kept.
    if (Response != nullptr || Last.Code == ExitCode::Unreached)
      Last = responseReport(Outcome);
    if (Response != nullptr && Last.Code != ExitCode::Ok)
      co_return Last;
    if (Response != nullptr && isInForceOnAllVms(Response->Answer))
      co_return Last;
    co_await m_Client.pause(PollPause);
  }
  if (Last.Code == ExitCode::Ok)
    Last.Code = ExitCode::NotInForce;
  co_return Last;
}

} // namespace carawaypond::ctl
