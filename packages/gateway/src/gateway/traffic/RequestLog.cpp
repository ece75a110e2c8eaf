#include "gateway/traffic/RequestLog.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace carawaypond::gateway {

namespace {

constexpr std::uint64_t RequestsPerSample = 128;
/// Time in the pool, for a connection, from which it is told.
constexpr Milliseconds NotableQueueing{5};

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

/// Such as "i-7f@12ms first cost 1.5: lost reset after 30ms; ".
std::string describeAttempt(const AttemptState &Made, TimePoint ArrivedAt) {
  std::array<char, 32> Cost{};
  std::snprintf(Cost.data(), Cost.size(), "%.1f", Made.Started.Cost);
  std::string Text = Made.Started.Replica.value() + "@" +
                     std::to_string(millis(Made.SentAt - ArrivedAt)) + "ms ";
  Text.append(nameOf(Made.Started.Why)).append(" cost ").append(Cost.data());
  if (Made.WrittenAt && *Made.WrittenAt - Made.SentAt >= NotableQueueing)
    Text += " queued " + std::to_string(millis(*Made.WrittenAt - Made.SentAt)) +
            "ms";
  Text += ": ";
  if (!Made.Ended)
    return Text + "pending; ";
  Text.append(nameOf(*Made.Ended));
  if (!Made.Note.empty())
    Text += " " + Made.Note;
  Text += " after " + std::to_string(millis(*Made.EndedAt - Made.SentAt));
  return Text + "ms; ";
}

bool isNotable(const AttemptState &Made) {
  return Made.Started.isExtra() || Made.Ended != AttemptResult::Served;
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
  }
  return "unknown";
}

bool isSampled(std::string_view RequestId) {
  return XXH64(RequestId.data(), RequestId.size(), 0) % RequestsPerSample == 0;
}

LogLine describeRequest(const adapter::CallerRequest &Asked,
                        const RequestRun &Run,
                        const std::vector<AttemptState> &Attempts,
                        const RequestEnd &End) {
  bool IsWhole = isSampled(Asked.Id);
  std::string Told;
  for (const AttemptState &Each : Attempts)
    if (IsWhole || isNotable(Each))
      Told += describeAttempt(Each, End.ArrivedAt);
  LogLine Line("request");
  Line.add("request", Asked.Id);
  Line.add("outcome", End.Outcome);
  Line.add("reason", End.Reason);
  Line.add("route", Run.route().Name);
  Line.add("config", Run.plan().Table->version().value());
  Line.add("patience_ms", Run.plan().CallerPatience.count());
  Line.add("took_ms", millis(End.Now - End.ArrivedAt));
  Line.add("attempts", static_cast<std::uint64_t>(Attempts.size()));
  Line.add("budget_spent", Run.wasDenied());
  Line.add("notable", Told);
  return Line;
}

} // namespace carawaypond::gateway
