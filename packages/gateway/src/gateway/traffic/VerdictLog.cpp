#include "gateway/traffic/VerdictLog.h"

namespace carawaypond::gateway {

namespace {

constexpr unsigned ChecksPerVerdict = 3;
constexpr int PerCent = 100;

std::string_view nameOf(ReplicaHealth Held) {
  switch (Held) {
  case ReplicaHealth::Well:
    return "well";
  case ReplicaHealth::Slow:
    return "slow";
  case ReplicaHealth::Failing:
    return "failing";
  case ReplicaHealth::Refusing:
    return "refusing";
  }
  return "unknown";
}

} // namespace

void VerdictLog::check(const ReplicaFleet &Fleet, TimePoint Now) {
  ++m_Round;
  m_RateBound = 0;
  for (const auto &[Name, Service] : Fleet.services())
    for (const auto &[Id, Gauge] : Service.replicas())
      check(Gauge, Fleet.options(), Now);
  std::erase_if(m_Seen, [this](const auto &Each) {
    return Each.second.LastRound != m_Round;
  });
}

void VerdictLog::noteRateBound(const ReplicaTracker &Gauge, Seen &Known,
                               TimePoint Now) {
  bool IsBound = Gauge.isRateBound(Now);
  m_RateBound += IsBound ? 1 : 0;
  if (IsBound == Known.IsRateBound)
    return;
  Known.IsRateBound = IsBound;
  LogLine Line(IsBound ? "replica_cold" : "replica_warm");
  Line.add("replica", Gauge.record().Id.value());
  Line.add("service", Gauge.record().Service.value());
  m_Log.write(Line);
}

void VerdictLog::check(const ReplicaTracker &Gauge,
                       const PlacementOptions &Options, TimePoint Now) {
  Seen &Known = m_Seen[Gauge.record().Id];
  Known.LastRound = m_Round;
  noteRateBound(Gauge, Known, Now);
  ReplicaHealth Held = Gauge.verdict(Options, Now);
  Known.Checks = Held == Known.Last ? Known.Checks + 1 : 1;
  Known.Last = Held;
  if (Held == Known.Logged || Known.Checks < ChecksPerVerdict)
    return;
  Known.Logged = Held;
  LogLine Line("replica_judged");
  Line.add("replica", Gauge.record().Id.value());
  Line.add("service", Gauge.record().Service.value());
  Line.add("verdict", nameOf(Held));
  Line.add("slowness_percent",
           static_cast<int>(Gauge.slowness(Options, Now) * PerCent));
  Line.add("failure_percent", static_cast<int>(Gauge.failureRate() * PerCent));
  Line.add("outstanding", static_cast<std::uint64_t>(Gauge.outstanding()));
  m_Log.write(Line);
}

} // namespace carawaypond::gateway
