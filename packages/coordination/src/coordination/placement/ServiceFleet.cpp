#include "coordination/placement/ServiceFleet.h"

#include <algorithm>

namespace carawaypond {

namespace {

/// @return The first replica of the least cost, or null.
ReplicaTracker *leastCost(const std::vector<ReplicaTracker *> &Among,
                          const PlacementOptions &Options, TimePoint Now) {
  ReplicaTracker *Best = nullptr;
  double Least = 0;
  for (ReplicaTracker *Each : Among) {
    double Cost = Each->cost(Options, Now);
    if (Best != nullptr && Cost >= Least)
      continue;
    Best = Each;
    Least = Cost;
  }
  return Best;
}

/// @brief Removes a replica that several VMs report to be slow, while the
/// others have capacity to spare.
void omitReported(std::vector<ReplicaTracker *> &Usable,
                  const SlowReportOptions &Options, TimePoint Now) {
  auto Slow = std::find_if(
      Usable.begin(), Usable.end(), [&](const ReplicaTracker *Each) {
        return Each->slowReports().areConclusive(Options, Now);
      });
  if (Slow == Usable.end() || Usable.size() < 2)
    return;
  bool HaveOthersRoom = std::all_of(
      Usable.begin(), Usable.end(), [&](const ReplicaTracker *Each) {
        return Each == *Slow ||
               Each->slowReports().vms(Options, Now) <= Options.MaxOtherVms;
      });
  if (HaveOthersRoom)
    Usable.erase(Slow);
}

/// @brief Removes the replicas that are not comparable with the cheapest.
void omitIncomparable(std::vector<ReplicaTracker *> &Usable,
                      const PlacementOptions &Options, TimePoint Now) {
  if (Options.Reports)
    omitReported(Usable, *Options.Reports, Now);
  const ReplicaTracker *Cheapest = leastCost(Usable, Options, Now);
  if (Cheapest == nullptr)
    return;
  double MaxCost = Cheapest->cost(Options, Now) * Options.Shares->MaxCostRatio;
  bool IsLocal = Cheapest->record().Centre == Options.Centre;
  std::erase_if(Usable, [&](const ReplicaTracker *Each) {
    bool IsNear = Options.Shares->SpansCentres ||
                  (Each->record().Centre == Options.Centre) == IsLocal;
    return !IsNear || Each->cost(Options, Now) > MaxCost;
  });
}

} // namespace

ReplicaTracker *ServiceFleet::find(const ServerName &Id) {
  auto Found = m_Replicas.find(Id);
  return Found == m_Replicas.end() ? nullptr : &Found->second;
}

ReplicaTracker *ServiceFleet::cheapest(const std::vector<ServerName> &Excluded,
                                       const PlacementOptions &Options,
                                       TimePoint Now) {
  std::vector<ReplicaTracker *> Usable;
  for (auto &[Id, Gauge] : m_Replicas) {
    bool IsExcluded =
        std::find(Excluded.begin(), Excluded.end(), Id) != Excluded.end();
    if (!IsExcluded && Gauge.acceptsRequest(Now))
      Usable.push_back(&Gauge);
  }
  if (Usable.empty())
    return nullptr;
  omitReturning(Usable, Options, Now);
  auto First = static_cast<std::ptrdiff_t>(m_Rotation++ % Usable.size());
  std::rotate(Usable.begin(), Usable.begin() + First, Usable.end());
  // Hedges and retries at another replica are late already, so they take the
  // cheapest. They are counted: the replica gets fewer first attempts
  // afterwards.
  if (Options.Shares && Excluded.empty())
    omitBeyondShare(Usable, Options, Now);
  return leastCost(Usable, Options, Now);
}

void ServiceFleet::countSent(const ReplicaTracker &To,
                             const PlacementOptions &Options, TimePoint Now) {
  if (!Options.Shares)
    return;
  std::vector<ReplicaTracker *> Usable;
  // A replica that returns gets few requests at first, and is not to catch up
  // with the others.
  for (auto &[Id, Gauge] : m_Replicas)
    if (Gauge.acceptsRequest(Now) && Gauge.returnedShare(Options, Now) >= 1)
      Usable.push_back(&Gauge);
  omitIncomparable(Usable, Options, Now);
  std::vector<ServerName> Comparable;
  Comparable.reserve(Usable.size());
  for (const ReplicaTracker *Each : Usable)
    Comparable.push_back(Each->record().Id);
  m_Shares.onSent(To.record().Id, Comparable, *Options.Shares);
}

void ServiceFleet::omitBeyondShare(std::vector<ReplicaTracker *> &Usable,
                                   const PlacementOptions &Options,
                                   TimePoint Now) const {
  omitIncomparable(Usable, Options, Now);
  auto IsWithin = [this](const ReplicaTracker *Each) {
    return m_Shares.allows(Each->record().Id);
  };
  if (!std::any_of(Usable.begin(), Usable.end(), IsWithin))
    return;
  std::erase_if(Usable,
                [&](const ReplicaTracker *Each) { return !IsWithin(Each); });
}

void ServiceFleet::omitReturning(std::vector<ReplicaTracker *> &Usable,
                                 const PlacementOptions &Options,
                                 TimePoint Now) {
  double Share = 1;
  for (const ReplicaTracker *Each : Usable)
    Share = std::min(Share, Each->returnedShare(Options, Now));
  if (Share >= 1)
    return;
  m_ReturnCredit += Share;
  if (m_ReturnCredit >= 1) {
    m_ReturnCredit -= 1;
    return;
  }
  auto IsReturning = [&](const ReplicaTracker *Each) {
    return Each->returnedShare(Options, Now) < 1;
  };
  if (!std::all_of(Usable.begin(), Usable.end(), IsReturning))
    std::erase_if(Usable, IsReturning);
}

std::optional<Duration> ServiceFleet::leastPause(TimePoint Now) const {
  std::optional<Duration> Least;
  for (const auto &[Id, Gauge] : m_Replicas) {
    Duration Pause = Gauge.untilAllowed(Now);
    bool IsServing = Gauge.record().State == ReplicaState::Serving &&
                     !Gauge.notices().isLeaving() && !Gauge.isEvacuated();
    if (IsServing && Pause > Duration(0))
      Least = std::min(Least.value_or(Pause), Pause);
  }
  return Least;
}

void ServiceFleet::put(const ReplicaRecord &Record, TimePoint Now) {
  auto Found = m_Replicas.find(Record.Id);
  if (Found == m_Replicas.end())
    m_Replicas.emplace(Record.Id, ReplicaTracker(Record, Now));
  else {
    if (Found->second.record().StartedAt != Record.StartedAt)
      m_Shares.erase(Record.Id);
    Found->second.update(Record, Now);
  }
}

} // namespace carawaypond
