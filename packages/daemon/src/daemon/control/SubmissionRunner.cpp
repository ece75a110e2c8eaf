#include "daemon/control/SubmissionRunner.h"

#include "coordination/configuration/SubmissionPlan.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/scope_exit.hpp>
#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr const char *ServiceKind = "service";
constexpr Milliseconds CallTimeout{1000};

/// @brief Converts the outcome of a store write to the result that
/// SubmissionPlan expects.
struct WriteVisitor {
  WriteResult operator()(const platform::Written &) const {
    return WriteResult::Written;
  }
  WriteResult operator()(const platform::Conflict &) const {
    return WriteResult::ConditionFailed;
  }
  WriteResult operator()(const platform::InDoubt &) const {
    return WriteResult::InDoubt;
  }
  WriteResult operator()(const platform::Refused &) const {
    return WriteResult::InDoubt;
  }
};

} // namespace

asio::awaitable<SubmissionOutcome> SubmissionRunner::run(Submission Wanted,
                                                         TimePoint Deadline) {
  ++m_InFlight;
  BOOST_SCOPE_EXIT_ALL(this) { --m_InFlight; };
  SubmissionPlan Plan(std::move(Wanted), Deadline);
  SubmissionAction Next = Plan.start();
  while (true) {
    if (auto *Finish = std::get_if<FinishSubmission>(&Next))
      co_return Finish->Outcome;
    if (auto *Read = std::get_if<ReadObject>(&Next)) {
      co_await wait(Read->After);
      auto Found = co_await read(Read->Service, monotonicNow() + CallTimeout);
      Next = Plan.onRead(Found, monotonicNow());
      continue;
    }
    WriteResult Written = co_await write(std::get<WriteObject>(Next),
                                         monotonicNow() + CallTimeout);
    Next = Plan.onWrite(Written, monotonicNow());
  }
}

asio::awaitable<void> SubmissionRunner::wait(Milliseconds Time) {
  if (Time == Milliseconds(0))
    co_return;
  asio::steady_timer Timer(m_Io, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<Result<std::optional<StoredObject>>>
SubmissionRunner::read(ServiceName Service, TimePoint Deadline) {
  Result<platform::Object> Got =
      co_await m_Store.get(ServiceKind, Service.value(), Deadline);
  if (!Got && Got.error().Code == ErrorCode::NotFound)
    co_return std::optional<StoredObject>();
  if (!Got)
    co_return boost::outcome_v2::failure(Got.error());
  nlohmann::json Value =
      nlohmann::json::parse(Got.value().Value, nullptr, false);
  Result<StoredService> Stored = parseStoredService(Value);
  if (!Stored)
    co_return boost::outcome_v2::failure(Stored.error());
  co_return std::optional<StoredObject>(
      StoredObject{.ObjectVersion = Got.value().Version,
                   .Value = std::move(Stored.value())});
}

asio::awaitable<WriteResult> SubmissionRunner::write(const WriteObject &Asked,
                                                     TimePoint Deadline) {
  platform::WriteCondition Condition = platform::IfAbsent{};
  if (Asked.IfVersion)
    Condition = platform::IfVersion{*Asked.IfVersion};
  StoredService Value = Asked.Value;
  platform::WriteOutcome Outcome =
      co_await m_Store.put(ServiceKind, Value.Content.Name.value(),
                           toJson(Value).dump(), Condition, Deadline);
  if (std::holds_alternative<platform::Written>(Outcome)) {
    m_State.Core.onWritten(std::move(Value));
    m_State.OnChange();
  }
  co_return std::visit(WriteVisitor{}, Outcome);
}

} // namespace carawaypond::daemon
