#include "gateway/app/MetricsText.h"

namespace carawaypond::gateway {

namespace {

void addLine(std::string &Text, std::string_view Name, std::uint64_t Value) {
  Text.append("carawaypond_").append(Name).append(" ");
  Text.append(std::to_string(Value)).append("\n");
}

} // namespace

std::string metricsText(const TrafficCounters &Counters,
                        const LatencyMetrics &Latencies,
                        const FleetState &State,
                        const adapter::StoreCallCounts &Calls,
                        const QuotaService &Quota, const EventLog &Log) {
  std::string Text;
  addLine(Text, "requests_total", Counters.Requests);
  addLine(Text, "requests_in_flight", Counters.InFlight);
  addLine(Text, "answers_complete_total", Counters.Complete);
  addLine(Text, "answers_partial_total", Counters.Partial);
  addLine(Text, "answers_replica_failure_total", Counters.ReplicaFailures);
  addLine(Text, "answers_refused_total", Counters.Refused);
  addLine(Text, "answers_failed_total", Counters.Failed);
  addLine(Text, "answers_not_found_total", Counters.NotFound);
  addLine(Text, "answers_unauthorized_total", Counters.Unauthorized);
  addLine(Text, "answers_over_quota_total", Counters.OverQuota);
  addLine(Text, "admission_refused_total", Counters.AdmissionRefused);
  addLine(Text, "admission_waits_total", Counters.AdmissionWaits);
  addLine(Text, "overloads_total", Counters.Overloads);
  addLine(Text, "overloaded_targets", Counters.OverloadedTargets);
  addLine(Text, "demand_high", Counters.DemandHigh);
  addLine(Text, "callers_gone_total", Counters.CallersGone);
  addLine(Text, "callers_over_work_total", Counters.CallersOverWork);
  addLine(Text, "replicas_ended_total", Counters.ReplicasEnded);
  addLine(Text, "requests_quarantined", Counters.Quarantined);
  addLine(Text, "quarantine_refused_total", Counters.QuarantineRefused);
  addLine(Text, "attempts_total", Counters.Attempts);
  addLine(Text, "attempts_extra_total", Counters.ExtraAttempts);
  addLine(Text, "attempts_refused_total", Counters.AttemptsRefused);
  addLine(Text, "attempts_lost_total", Counters.AttemptsLost);
  addLine(Text, "attempts_over_work_total", Counters.AttemptsOverWork);
  addLine(Text, "attempts_abandoned_total", Counters.AttemptsAbandoned);
  addLine(Text, "attempts_withdrawn_total", Counters.AttemptsWithdrawn);
  addLine(Text, "replica_connections_opened_total", Counters.Connections);
  addLine(Text, "replicas_rate_bound", Counters.ReplicasRateBound);
  addLine(Text, "replicas_reported_slow", Counters.ReplicasReportedSlow);
  addLine(Text, "traffic_delay_milliseconds_max", Counters.LongestDelayMs);
  addLine(Text, "config_version", State.configVersion());
  addLine(Text, "replicas_known", State.replicas().entries().size());
  addLine(Text, "replicas_presumed", State.replicas().presumed());
  addLine(Text, "data_centres_evacuated",
          State.evacuations().evacuated().size());
  addLine(Text, "evacuation_changes_total", State.evacuationSequence());
  addLine(Text, "evacuations_age_milliseconds", State.evacuationAge().count());
  addLine(Text, "store_objects_unreadable_total", State.unreadable());
  addLine(Text, "config_age_milliseconds", State.configAge().count());
  addLine(Text, "replicas_age_milliseconds", State.replicaAge().count());
  addLine(Text, "vms_known", State.vms().known().size() + 1);
  addLine(Text, "store_era", State.storeEra().value());
  addLine(Text, "store_restores_total", Calls.Restores);
  addLine(Text, "store_reads_total", Calls.Reads);
  addLine(Text, "store_watches_total", Calls.Watches);
  addLine(Text, "store_writes_total", Calls.Writes);
  addLine(Text, "store_calls_failed_total", Calls.Failed);
  addLine(Text, "quota_allocating", Quota.isAllocating() ? 1 : 0);
  addLine(Text, "quota_terms_total", Quota.counts().Terms);
  addLine(Text, "quota_calls_total", Quota.counts().Calls);
  addLine(Text, "quota_tokens_granted_total", Quota.counts().Tokens);
  addLine(Text, "quota_refusals_total", Quota.counts().Refused);
  addLine(Text, "log_lines_left_out_total", Log.dropped());
  Text += Counters.ByReplica.prometheusText();
  Text += Latencies.prometheusText();
  return Text;
}

} // namespace carawaypond::gateway
