#include "ctl/RolloutWaiter.h"

#include "ctl/Reports.h"
#include "http/PercentCoding.h"

#include <nlohmann/json.hpp>

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

constexpr Milliseconds PollPause{200};

http::Request makeQuestion(const WaitForService &Wanted) {
  http::Request Asked;
  Asked.Path = "/v1/force/" + http::percentEncode(Wanted.Name.value());
  Asked.Query = "version=" + std::to_string(Wanted.Version.value());
  return Asked;
}

/// @return Whether the answer counts every VM of at least one.
bool isEverywhere(const http::Response &Answer) {
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("vms") || !Body.contains("in_force"))
    return false;
  const nlohmann::json &Vms = Body["vms"];
  return Vms.is_number_unsigned() && Vms != 0 && Body["in_force"] == Vms;
}

} // namespace

awaitable<Report> RolloutWaiter::wait(WaitForService Wanted,
                                      TimePoint Deadline) {
  Report Last = failureReport(ExitCode::Unreached, "not_run", "no VM answered");
  while (monotonicNow() < Deadline) {
    http::Request Asked = makeQuestion(Wanted);
    Exchange Ended = co_await m_Client.read(std::move(Asked), Deadline);
    const auto *Got = std::get_if<Answered>(&Ended);
    // A later round without an answer does not undo what an earlier one said.
    if (Got != nullptr || Last.Code == ExitCode::Unreached)
      Last = viewReport(Ended);
    if (Got != nullptr && Last.Code != ExitCode::Ok)
      co_return Last;
    if (Got != nullptr && isEverywhere(Got->Answer))
      co_return Last;
    co_await m_Client.pause(PollPause);
  }
  if (Last.Code == ExitCode::Ok)
    Last.Code = ExitCode::NotInForce;
  co_return Last;
}

} // namespace carawaypond::ctl
