#include "gateway/traffic/RequestLog.h"

#include "gateway/traffic/RequestContent.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cmath>
#include <cstdio>

namespace carawaypond::gateway {

namespace {

constexpr std::uint64_t RequestsPerSample = 128;
/// Time spent waiting for a connection from which on it is logged.
constexpr Milliseconds MinLoggedQueueing{5};

std::int64_t millis(Duration Time) {
  return std::chrono::duration_cast<Milliseconds>(Time).count();
}

std::string_view nameOf(AttemptResult How) {
  switch (How) {
  case AttemptResult::Served:
    return "served";
  case AttemptResult::ServerFailed:
    return "server_failed";
  case AttemptResult::NotRun:
    return "refused";
  case AttemptResult::Misplaced:
    return "misplaced";
  case AttemptResult::NeverSent:
    return "never_sent";
  case AttemptResult::Withdrawn:
    return "withdrawn";
  case AttemptResult::Lost:
    return "lost";
  case AttemptResult::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

std::string_view nameOf(AttemptReason Why) {
  switch (Why) {
  case AttemptReason::First:
    return "first";
  case AttemptReason::Stalled:
    return "stalled";
  case AttemptReason::Late:
    return "late";
  case AttemptReason::Retry:
    return "retry";
  }
  return "unknown";
}

/// @return Text such as
/// "i-7f@12ms first cost 1.5 connection 3: lost reset after 30ms; ".
std::string describeAttempt(const AttemptState &Attempt, TimePoint ArrivedAt) {
  std::array<char, 32> Cost{};
  std::snprintf(Cost.data(), Cost.size(), "%.1f", Attempt.Started.Cost);
  std::string Text = Attempt.Started.Replica.value() + "@" +
                     std::to_string(millis(Attempt.SentAt - ArrivedAt)) + "ms ";
  Text.append(nameOf(Attempt.Started.Why)).append(" cost ").append(Cost.data());
  if (Attempt.Connection)
    Text += " connection " + std::to_string(Attempt.Connection->value());
  if (Attempt.WrittenAt &&
      *Attempt.WrittenAt - Attempt.SentAt >= MinLoggedQueueing)
    Text += " queued " +
            std::to_string(millis(*Attempt.WrittenAt - Attempt.SentAt)) +
            "ms given " + std::to_string(Attempt.TimeGiven.count()) + "ms";
  Text += ": ";
  if (!Attempt.Ended)
    return Text + "pending; ";
  Text.append(nameOf(*Attempt.Ended));
  if (!Attempt.ErrorText.empty())
    Text += " " + Attempt.ErrorText;
  Text += " after " + std::to_string(millis(*Attempt.EndedAt - Attempt.SentAt));
  return Text + "ms; ";
}

bool isWorthLogging(const AttemptState &Attempt) {
  return Attempt.Started.isExtra() || Attempt.Ended != AttemptResult::Served;
}

} // namespace

std::string_view nameOf(RefusalReason Why) {
  switch (Why) {
  case RefusalReason::NoReplica:
    return "no_replica";
  case RefusalReason::ReplicasBusy:
    return "replicas_busy";
  case RefusalReason::Leaving:
    return "leaving";
  case RefusalReason::NotReady:
    return "not_ready";
  case RefusalReason::KeyUnproven:
    return "key_unproven";
  case RefusalReason::QuotaUnavailable:
    return "quota_unavailable";
  case RefusalReason::EndsReplicas:
    return "ends_replicas";
  }
  return "unknown";
}

std::string_view nameOf(FailureReason Why) {
  switch (Why) {
  case FailureReason::ReplicaLost:
    return "replica_lost";
  case FailureReason::TimedOut:
    return "timed_out";
  case FailureReason::TooFewShards:
    return "too_few_shards";
  case FailureReason::Leaving:
    return "leaving";
  }
  return "unknown";
}

bool isSampled(std::string_view RequestId) {
  return XXH64(RequestId.data(), RequestId.size(), 0) % RequestsPerSample == 0;
}

LogLine describeNotice(const ServerName &Replica, const ReplicaNotice &Told) {
  LogLine Line("replica_notice");
  Line.add("replica", Replica.value());
  Line.add("leaving", Told.IsLeaving);
  if (Told.RetryAfter)
    Line.add("retry_after_ms", Told.RetryAfter->count());
  if (Told.Limit)
    Line.add("limit_per_1000s",
             static_cast<std::int64_t>(std::llround(*Told.Limit * 1'000)));
  return Line;
}

LogLine describeNotRun(const adapter::CallerRequest &Asked,
                       std::string_view Reason) {
  LogLine Line("request");
  Line.add("request", Asked.Id);
  Line.add("outcome", "not_run");
  Line.add("reason", Reason);
  return Line;
}

LogLine describeEnd(const ServerName &Replica,
                    const adapter::CallerRequest &Asked,
                    std::string_view Route) {
  LogLine Line("replica_ended");
  Line.add("replica", Replica.value());
  Line.add("request", Asked.Id);
  Line.add("content", contentOf(Asked).value());
  Line.add("route", Route);
  return Line;
}

LogLine describeOverWork(const ServerName &Replica) {
  LogLine Line("replica_over_work");
  Line.add("replica", Replica.value());
  return Line;
}

LogLine describeRequest(const adapter::CallerRequest &Asked,
                        const RequestRun &Run,
                        const std::vector<AttemptState> &Attempts,
                        const RequestEnd &End) {
  bool LogsAllAttempts = isSampled(Asked.Id);
  std::string AttemptTexts;
  for (const AttemptState &Each : Attempts)
    if (LogsAllAttempts || isWorthLogging(Each))
      AttemptTexts += describeAttempt(Each, End.ArrivedAt);
  LogLine Line("request");
  Line.add("request", Asked.Id);
  Line.add("outcome", End.Outcome);
  Line.add("reason", End.Reason);
  Line.add("route", Run.route().Name);
  if (Run.plan().Caller != nullptr)
    Line.add("workspace", Run.plan().Caller->Name.value());
  Line.add("config", Run.plan().Table->version().value());
  Line.add("patience_ms", Run.plan().CallerTimeout.count());
  Line.add("took_ms", millis(End.Now - End.ArrivedAt));
  Line.add("attempts", static_cast<std::uint64_t>(Attempts.size()));
  Line.add("budget_spent", Run.wasBudgetExhausted());
  Line.add("notable", AttemptTexts);
  return Line;
}

} // namespace carawaypond::gateway
