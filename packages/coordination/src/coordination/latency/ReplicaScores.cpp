#include "coordination/latency/ReplicaScores.h"

#include <algorithm>
#include <cmath>

namespace carawaypond {

namespace {

constexpr double DefaultMicros = 5'000;    // of a server without samples
constexpr double UnhealthyMicros = 50'000; // added while reported as unhealthy
constexpr double RefusalMicros = 20'000;   // added by each refusal
constexpr double MaxPenaltyMicros = 500'000;
constexpr double Smoothing = 0.2; // weight of the newest latency
constexpr auto PenaltyHalfLife = std::chrono::seconds(1);
constexpr auto RecentPeriod = std::chrono::seconds(10);

double penaltyAt(double Micros, TimePoint SeenAt, TimePoint Now) {
  if (Now <= SeenAt)
    return Micros;
  double HalfLives = std::chrono::duration<double>(Now - SeenAt) /
                     std::chrono::duration<double>(PenaltyHalfLife);
  return Micros * std::exp2(-HalfLives);
}

double toMicros(Duration Latency) {
  return std::chrono::duration<double, std::micro>(Latency).count();
}

Duration fromMicros(double Micros) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(Micros));
}

} // namespace

Duration ReplicaScores::expected(const ServerName &Server,
                                 TimePoint Now) const {
  auto Found = m_Scores.find(Server);
  if (Found == m_Scores.end())
    return fromMicros(DefaultMicros);
  const Score &S = Found->second;
  bool IsRecent = S.Seen && Now - S.SeenAt < RecentPeriod;
  double Base = S.LatencyMicros > 0 ? S.LatencyMicros : DefaultMicros;
  if (!IsRecent)
    return fromMicros(DefaultMicros + S.HealthMicros);
  return fromMicros(Base + penaltyAt(S.PenaltyMicros, S.SeenAt, Now));
}

void ReplicaScores::noteLatency(const ServerName &Server, Duration Latency,
                                TimePoint Now) {
  Score &S = m_Scores[Server];
  double Micros = toMicros(Latency);
  if (S.LatencyMicros == 0)
    S.LatencyMicros = Micros;
  S.LatencyMicros += Smoothing * (Micros - S.LatencyMicros);
  S.PenaltyMicros = penaltyAt(S.PenaltyMicros, S.SeenAt, Now);
  S.SeenAt = std::max(S.SeenAt, Now);
  S.Seen = true;
}

void ReplicaScores::noteRefusal(const ServerName &Server, TimePoint Now) {
  Score &S = m_Scores[Server];
  double Penalty = penaltyAt(S.PenaltyMicros, S.SeenAt, Now);
  S.PenaltyMicros = std::min(MaxPenaltyMicros, Penalty + RefusalMicros);
  S.SeenAt = std::max(S.SeenAt, Now);
  S.Seen = true;
}

void ReplicaScores::noteHealth(const ServerName &Server, bool Healthy,
                               double Load, TimePoint /*Now*/) {
  double LoadMicros = std::clamp(Load, 0.0, 1.0) * DefaultMicros;
  m_Scores[Server].HealthMicros = Healthy ? LoadMicros : UnhealthyMicros;
}

} // namespace carawaypond
