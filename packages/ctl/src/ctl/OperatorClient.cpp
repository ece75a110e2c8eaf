#include "ctl/OperatorClient.h"

#include "http/Connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

constexpr unsigned ServerErrors = 500;

/// @return The end of the first of @p Shares equal parts of the time left until
/// @p Deadline.
TimePoint endOfShare(TimePoint Deadline, std::size_t Shares) {
  TimePoint Now = monotonicNow();
  if (Deadline <= Now)
    return Deadline;
  return Now + (Deadline - Now) / static_cast<Duration::rep>(Shares);
}

/// @return Whether the VM guarantees that it did not run the request, for a
/// reason that may not apply to another VM.
bool isNotRun(const http::Response &Answer) {
  if (Answer.Status != 408 && Answer.Status != 429 && Answer.Status != 503)
    return false;
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  return Body.is_object() &&
         Body.value("outcome", nlohmann::json()) == nlohmann::json("not_run");
}

std::string describe(const std::string &Address, const http::Response &Answer) {
  return Address + " answered " + std::to_string(Answer.Status) + " " +
         Answer.Body;
}

/// @brief Appends why one VM did not run the request.
void appendReason(std::string &Reasons, const std::string &Line) {
  if (!Reasons.empty())
    Reasons += "; ";
  Reasons += Line;
}

} // namespace

OperatorClient::OperatorClient(boost::asio::any_io_executor Executor,
                               std::vector<std::string> Addresses)
    : m_Executor(std::move(Executor)), m_Addresses(std::move(Addresses)) {}

awaitable<Result<http::Response>> OperatorClient::sendTo(std::string Address,
                                                         http::Request Request,
                                                         TimePoint ConnectBy,
                                                         TimePoint Deadline) {
  http::Connection Connection(m_Executor, std::move(Address));
  auto Connected = co_await Connection.connect(ConnectBy);
  if (!Connected)
    co_return boost::outcome_v2::failure(Connected.error());
  co_return co_await Connection.roundTrip(std::move(Request), Deadline);
}

awaitable<RequestOutcome> OperatorClient::submit(http::Request Request,
                                                 TimePoint Deadline) {
  // The second half of the time is reserved for querying the outcome if the
  // answer is lost.
  TimePoint SendDeadline = endOfShare(Deadline, 2);
  std::string Reasons;
  for (std::size_t I = 0; I < m_Addresses.size(); ++I) {
    TimePoint ConnectBy = endOfShare(SendDeadline, m_Addresses.size() - I);
    http::Request Copy = Request;
    auto Answer = co_await sendTo(m_Addresses[I], std::move(Copy), ConnectBy,
                                  SendDeadline);
    if (!Answer && Answer.error().Code != ErrorCode::NotConnected)
      co_return AnswerLost{.Cause = Answer.error()};
    if (Answer && !isNotRun(Answer.value()))
      co_return Answered{.Answer = std::move(Answer.value())};
    appendReason(Reasons, Answer ? describe(m_Addresses[I], Answer.value())
                                 : Answer.error().Message);
  }
  co_return RequestNotRun{.Reason = std::move(Reasons)};
}

awaitable<RequestOutcome> OperatorClient::read(http::Request Request,
                                               TimePoint Deadline) {
  std::string Reasons;
  for (std::size_t I = 0; I < m_Addresses.size(); ++I) {
    TimePoint EndBy = endOfShare(Deadline, m_Addresses.size() - I);
    http::Request Copy = Request;
    auto Answer =
        co_await sendTo(m_Addresses[I], std::move(Copy), EndBy, EndBy);
    if (Answer && Answer.value().Status < ServerErrors &&
        !isNotRun(Answer.value()))
      co_return Answered{.Answer = std::move(Answer.value())};
    appendReason(Reasons, Answer ? describe(m_Addresses[I], Answer.value())
                                 : Answer.error().Message);
  }
  co_return RequestNotRun{.Reason = std::move(Reasons)};
}

awaitable<void> OperatorClient::pause(Milliseconds Length) {
  boost::asio::steady_timer Timer(m_Executor, Length);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace carawaypond::ctl
