#include "coordination/placement/ReplicaTracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypond {

namespace {

constexpr double SlownessWeight = 0.3; ///< Of one sample.
constexpr double FailureWeight = 0.25; ///< Of one sample.
constexpr double MaxSlowness = 30;
/// Slowness below which a latency counts as normal for a route.
constexpr double NormalSlowness = 3;
constexpr unsigned MaxRefusalDoublings = 5;
constexpr double SlowThreshold = 4; ///< Minimum slowness of a slow replica.
constexpr double FailingThreshold = 0.3; ///< Minimum share of failures.
/// Minimum length of a series of refusals.
constexpr unsigned RefusingThreshold = 3;

double ratio(Duration Part, Duration Whole) {
  double Divisor = std::chrono::duration<double>(
                       std::max<Duration>(Whole, Microseconds(100)))
                       .count();
  return std::chrono::duration<double>(Part).count() / Divisor;
}

/// @return Whether the replica, or its end of the connection, ended the
/// attempt.
bool isFromReplica(AttemptResult How) {
  return How != AttemptResult::Abandoned && How != AttemptResult::NeverSent &&
         How != AttemptResult::Withdrawn;
}

} // namespace

ReplicaTracker::ReplicaTracker(ReplicaRecord Record, TimePoint Now)
    : m_Record(std::move(Record)), m_WarmupReportedAt(Now), m_LastAnswer(Now),
      m_SlownessAt(Now), m_RefusedUntil(Now), m_MisplacedUntil(Now) {}

bool ReplicaTracker::isUsable(TimePoint Now) const {
  return !m_IsEvacuated && m_Record.State == ReplicaState::Serving &&
         Now >= m_MisplacedUntil && m_Notices.allowRequests(Now);
}

Duration ReplicaTracker::untilAllowed(TimePoint Now) const {
  return std::max(m_Notices.untilAllowed(Now), m_Warmup.untilAllowed(Now));
}

double ReplicaTracker::returnedShare(const PlacementOptions &Options,
                                     TimePoint Now) const {
  if (!m_ReturnedAt)
    return 1;
  return std::min(1.0, ratio(Now - *m_ReturnedAt, Options.EvacuationReturn));
}

bool ReplicaTracker::isStalled(const PlacementOptions &Options,
                               TimePoint Now) const {
  return std::any_of(
      m_Pending.begin(), m_Pending.end(), [&](const Pending &Each) {
        Duration Silence = Now - std::max(Each.SentAt, m_LastAnswer);
        auto Normal = std::chrono::duration_cast<Duration>(Each.Expected *
                                                           Options.StallFactor);
        return Silence > std::max<Duration>(Options.MinStall, Normal);
      });
}

double ReplicaTracker::slowness(const PlacementOptions &Options,
                                TimePoint Now) const {
  double HalfLives = ratio(Now - m_SlownessAt, Options.SlownessHalfLife);
  return 1 + (m_Slowness - 1) * std::exp2(-HalfLives);
}

double ReplicaTracker::cost(const PlacementOptions &Options,
                            TimePoint Now) const {
  double Slots = std::max(1U, m_Record.Slots);
  double Queued = static_cast<double>(m_Pending.size()) / Slots;
  double Cost = slowness(Options, Now) * (1 + Queued);
  if (Now < m_WarmupReportedAt + m_Record.WarmupLeft)
    Cost *= Options.WarmupFactor;
  if (m_Record.Centre != Options.Centre)
    Cost += Options.OtherCentreCost;
  Cost += m_FailureRate * Options.FailureCost;
  if (Now < m_RefusedUntil)
    Cost += Options.RefusalCost;
  if (isStalled(Options, Now))
    Cost += Options.StallCost;
  return Cost;
}

Duration ReplicaTracker::expectedWait(Duration Expected,
                                      const PlacementOptions &Options,
                                      TimePoint Now) const {
  std::size_t Slots = std::max(1U, m_Record.Slots);
  if (m_Pending.size() < Slots)
    return Duration(0);
  auto Ahead = static_cast<double>(m_Pending.size() - Slots + 1);
  return std::chrono::duration_cast<Duration>(
      Expected * (slowness(Options, Now) * Ahead / static_cast<double>(Slots)));
}

ReplicaHealth ReplicaTracker::verdict(const PlacementOptions &Options,
                                      TimePoint Now) const {
  if (m_FailureRate >= FailingThreshold)
    return ReplicaHealth::Failing;
  if (m_RefusalSeries >= RefusingThreshold && Now < m_RefusedUntil)
    return ReplicaHealth::Refusing;
  if (slowness(Options, Now) >= SlowThreshold)
    return ReplicaHealth::Slow;
  return ReplicaHealth::Well;
}

void ReplicaTracker::update(ReplicaRecord Record, TimePoint Now) {
  bool HasMoved = Record.Address != m_Record.Address;
  if (HasMoved || Record.StartedAt != m_Record.StartedAt) {
    m_MisplacedUntil = Now;
    m_Slowness = 1;
    m_FailureRate = 0;
    m_RefusalSeries = 0;
    m_RefusedUntil = Now;
    m_Reports.clear();
    m_LastSlowAnswer.reset();
  }
  if (Record.StartedAt != m_Record.StartedAt)
    m_Notices = {};
  bool IsColdAgain = Record.StartedAt != m_Record.StartedAt ||
                     Record.WarmupLeft > m_Record.WarmupLeft;
  // A lower value may have been written some time ago, so it does not move the
  // end of the warm-up back.
  TimePoint WarmAt = m_WarmupReportedAt + m_Record.WarmupLeft;
  m_WarmupReportedAt =
      IsColdAgain ? Now : std::min(Now, WarmAt - Record.WarmupLeft);
  m_Record = std::move(Record);
}

void ReplicaTracker::limitWarmup(const ReplicaLimits &Of, const LimitShare &Own,
                                 TimePoint Now) {
  m_Warmup.update(m_WarmupReportedAt + m_Record.WarmupLeft, Of.WarmupRate, Own,
                  Now);
}

void ReplicaTracker::setEvacuated(bool IsEvacuated, TimePoint Now) {
  if (m_IsEvacuated && !IsEvacuated)
    m_ReturnedAt = Now;
  m_IsEvacuated = IsEvacuated;
}

bool ReplicaTracker::onNotice(const ReplicaNotice &Told, const LimitShare &Own,
                              TimePoint Now) {
  return m_Notices.apply(Told, Own, Now);
}

void ReplicaTracker::onSent(SubrequestId Id, Duration Expected, TimePoint Now) {
  m_Pending.push_back({.Id = Id, .SentAt = Now, .Expected = Expected});
  m_Notices.onSent(Now);
  m_Warmup.onSent(Now);
}

std::optional<Duration> ReplicaTracker::onEnded(SubrequestId Id,
                                                AttemptResult How,
                                                const PlacementOptions &Options,
                                                TimePoint Now) {
  auto Found =
      std::find_if(m_Pending.begin(), m_Pending.end(),
                   [Id](const Pending &Each) { return Each.Id == Id; });
  if (Found == m_Pending.end())
    return std::nullopt;
  Pending Ended = *Found;
  m_Pending.erase(Found);
  Duration Latency = Now - Ended.SentAt;
  double Ratio = ratio(Latency, Ended.Expected);
  if (isFromReplica(How))
    m_LastAnswer = Now;
  if (How == AttemptResult::NeverSent || How == AttemptResult::Withdrawn) {
    m_Notices.onUnsent(Now);
    m_Warmup.onUnsent(Now);
  }
  switch (How) {
  case AttemptResult::Served:
    recordSlowness(Ratio, Options, Now);
    recordSlowAnswer(Ratio, Options, Now);
    recordFailure(0);
    m_RefusalSeries = 0;
    m_RefusedUntil = Now;
    if (m_Slowness < NormalSlowness)
      return Latency;
    return std::nullopt;
  case AttemptResult::NotRun:
    recordRefusal(Options, Now);
    return std::nullopt;
  case AttemptResult::Abandoned:
    if (Ratio > 1)
      recordSlowness(Ratio, Options, Now);
    recordSlowAnswer(Ratio, Options, Now);
    return std::nullopt;
  case AttemptResult::NeverSent:
    recordRefusal(Options, Now);
    recordFailure(1);
    return std::nullopt;
  case AttemptResult::Misplaced:
    m_MisplacedUntil = Now + Options.MisplacedExclusionPeriod;
    return std::nullopt;
  case AttemptResult::Withdrawn:
    return std::nullopt;
  case AttemptResult::ServerFailed:
  case AttemptResult::Lost:
    recordFailure(1);
    return std::nullopt;
  }
  return std::nullopt;
}

void ReplicaTracker::recordSlowness(double Ratio,
                                    const PlacementOptions &Options,
                                    TimePoint Now) {
  double Sample = std::clamp(Ratio, 0.3, MaxSlowness);
  m_Slowness = slowness(Options, Now);
  m_Slowness += SlownessWeight * (Sample - m_Slowness);
  m_SlownessAt = Now;
}

void ReplicaTracker::onSlowAnswer(const VmName &From, TimePoint At,
                                  const PlacementOptions &Options,
                                  TimePoint Now) {
  if (Options.Reports)
    m_Reports.add(From, At, *Options.Reports, Now);
}

void ReplicaTracker::recordSlowAnswer(double Ratio,
                                      const PlacementOptions &Options,
                                      TimePoint Now) {
  if (!Options.Reports || Ratio < Options.Reports->MinRatio)
    return;
  m_LastSlowAnswer = Now;
  onSlowAnswer(Options.Vm, Now, Options, Now);
}

void ReplicaTracker::recordFailure(double Sample) {
  m_FailureRate += FailureWeight * (Sample - m_FailureRate);
}

void ReplicaTracker::recordRefusal(const PlacementOptions &Options,
                                   TimePoint Now) {
  unsigned Doublings = std::min(m_RefusalSeries, MaxRefusalDoublings);
  Milliseconds Memory = Options.RefusalPenaltyPeriod * (1U << Doublings);
  m_RefusedUntil = Now + std::min(Memory, Options.MaxRefusalPenaltyPeriod);
  ++m_RefusalSeries;
}

} // namespace carawaypond
