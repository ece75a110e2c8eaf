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

/// @return The time after an equal share of what is left until @p Deadline.
TimePoint shareOf(TimePoint Deadline, std::size_t Shares) {
  TimePoint Now = monotonicNow();
  if (Deadline <= Now)
    return Deadline;
  return Now + (Deadline - Now) / static_cast<Duration::rep>(Shares);
}

/// @return Whether the VM promises that it did not run the request, for a
/// reason that another VM may not have.
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

/// @brief Appends a line on a VM that did not take the request.
void note(std::string &Why, const std::string &Line) {
  if (!Why.empty())
    Why += "; ";
  Why += Line;
}

} // namespace

OperatorClient::OperatorClient(boost::asio::any_io_executor Executor,
                               std::vector<std::string> Addresses)
    : m_Executor(std::move(Executor)), m_Addresses(std::move(Addresses)) {}

awaitable<Result<http::Response>> OperatorClient::call(std::string Address,
                                                       http::Request Asked,
                                                       TimePoint ConnectBy,
                                                       TimePoint Deadline) {
  http::Connection Wire(m_Executor, std::move(Address));
  auto Connected = co_await Wire.connect(ConnectBy);
  if (!Connected)
    co_return boost::outcome_v2::failure(Connected.error());
  co_return co_await Wire.roundTrip(std::move(Asked), Deadline);
}

awaitable<Exchange> OperatorClient::submit(http::Request Asked,
                                           TimePoint Deadline) {
  // The second half of the time is kept for asking what became of it.
  TimePoint SendDeadline = shareOf(Deadline, 2);
  std::string Why;
  for (std::size_t I = 0; I < m_Addresses.size(); ++I) {
    TimePoint ConnectBy = shareOf(SendDeadline, m_Addresses.size() - I);
    http::Request Copy = Asked;
    auto Answer =
        co_await call(m_Addresses[I], std::move(Copy), ConnectBy, SendDeadline);
    if (!Answer && Answer.error().Code != ErrorCode::NotConnected)
      co_return AnswerLost{.Cause = Answer.error()};
    if (Answer && !isNotRun(Answer.value()))
      co_return Answered{.Answer = std::move(Answer.value())};
    note(Why, Answer ? describe(m_Addresses[I], Answer.value())
                     : Answer.error().Message);
  }
  co_return NotTaken{.Why = std::move(Why)};
}

awaitable<Exchange> OperatorClient::read(http::Request Asked,
                                         TimePoint Deadline) {
  std::string Why;
  for (std::size_t I = 0; I < m_Addresses.size(); ++I) {
    TimePoint EndBy = shareOf(Deadline, m_Addresses.size() - I);
    http::Request Copy = Asked;
    auto Answer = co_await call(m_Addresses[I], std::move(Copy), EndBy, EndBy);
    if (Answer && Answer.value().Status < ServerErrors &&
        !isNotRun(Answer.value()))
      co_return Answered{.Answer = std::move(Answer.value())};
    note(Why, Answer ? describe(m_Addresses[I], Answer.value())
                     : Answer.error().Message);
  }
  co_return NotTaken{.Why = std::move(Why)};
}

awaitable<void> OperatorClient::pause(Milliseconds Length) {
  boost::asio::steady_timer Timer(m_Executor, Length);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace carawaypond::ctl
