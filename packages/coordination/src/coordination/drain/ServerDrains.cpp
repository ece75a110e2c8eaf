#include "coordination/drain/ServerDrains.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaypond {

ServerDrains::ServerDrains(ServerDrainsOptions Options)
    : m_Options(std::move(Options)),
      m_NextSequence(m_Options.IncarnationNumber.value()) {}

bool ServerDrains::isFresh(const DrainStatus &Known, TimePoint Now) const {
  return Now - Known.ObservedAt <= m_Options.Hold;
}

bool ServerDrains::isDraining(const ServerName &Server, TimePoint Now) const {
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const DrainStatus &Known) {
                       return Known.Leaving && isFresh(Known, Now);
                     });
}

std::vector<ServerName> ServerDrains::draining(TimePoint Now) const {
  std::vector<ServerName> Leaving;
  for (const auto &[Server, Known] : m_Servers)
    if (isDraining(Server, Now))
      Leaving.push_back(Server);
  return Leaving;
}

bool ServerDrains::mustPublish(const ServerName &Server, bool Leaving,
                               TimePoint Now) const {
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    return Leaving;
  auto Own = std::find_if(
      Found->second.begin(), Found->second.end(),
      [&](const DrainStatus &Each) { return Each.Origin == m_Options.Self; });
  if (Own == Found->second.end())
    return Leaving;
  return Own->Leaving != Leaving || Now - Own->ObservedAt > m_Options.Hold / 3;
}

void ServerDrains::observe(const ServerName &Server, bool Leaving,
                           TimePoint Now) {
  if (!mustPublish(Server, Leaving, Now))
    return;
  ++m_NextSequence;
  merge(Server, {.Origin = m_Options.Self,
                 .Sequence = m_NextSequence,
                 .ObservedAt = Now,
                 .Leaving = Leaving});
}

void ServerDrains::take(const std::vector<DrainSign> &Signs, TimePoint Now) {
  for (const DrainSign &Told : Signs) {
    Milliseconds Age(std::min<std::uint64_t>(
        Told.AgeMillis, static_cast<std::uint64_t>(m_Options.Hold.count())));
    merge(Told.Server, {.Origin = Told.Origin,
                        .Sequence = Told.Sequence,
                        .ObservedAt = Now - Age,
                        .Leaving = Told.Leaving});
  }
}

void ServerDrains::merge(const ServerName &Server, DrainStatus New) {
  bool IsNew = !m_Servers.contains(Server);
  if (IsNew && m_Servers.size() >= m_Options.MaxServers)
    return;
  DrainStatuses &Known = m_Servers[Server];
  auto Same =
      std::find_if(Known.begin(), Known.end(), [&](const DrainStatus &Each) {
        return Each.Origin == New.Origin;
      });
  if (Same != Known.end() && Same->Sequence >= New.Sequence)
    return;
  if (Same != Known.end())
    Known.erase(Same);
  Known.push_back(std::move(New));
  std::stable_sort(Known.begin(), Known.end(),
                   [](const DrainStatus &Left, const DrainStatus &Right) {
                     return std::make_pair(Left.Leaving, Left.ObservedAt) <
                            std::make_pair(Right.Leaving, Right.ObservedAt);
                   });
  if (Known.size() > MaxOrigins)
    Known.erase(Known.begin());
  CARAWAYPOND_INVARIANT(Known.size() <= MaxOrigins,
                        "more origins kept than MaxOrigins");
}

void ServerDrains::fill(Digest &Out, bool Full, TimePoint Now) {
  if (internal::isMutant(internal::Mutant::KeepDrainSigns))
    return;
  auto Next = m_Servers.upper_bound(m_Cursor);
  for (std::size_t I = 0; I < m_Servers.size(); ++I, ++Next) {
    if (Next == m_Servers.end())
      Next = m_Servers.begin();
    for (const DrainStatus &Known : Next->second) {
      if (!isFresh(Known, Now) ||
          (!Full && Now - Known.ObservedAt > m_Options.Recent))
        continue;
      if (Out.Drains.size() >= m_Options.StatusesPerDigest)
        return;
      auto Age = std::chrono::floor<Milliseconds>(Now - Known.ObservedAt);
      Out.Drains.push_back({.Server = Next->first,
                            .Origin = Known.Origin,
                            .Sequence = Known.Sequence,
                            .AgeMillis = static_cast<std::uint64_t>(
                                std::max<std::int64_t>(Age.count(), 0)),
                            .Leaving = Known.Leaving});
      m_Cursor = Next->first;
    }
  }
}

void ServerDrains::tick(TimePoint Now) {
  for (auto Each = m_Servers.begin(); Each != m_Servers.end();) {
    std::erase_if(Each->second, [&](const DrainStatus &Known) {
      return !isFresh(Known, Now);
    });
    Each = Each->second.empty() ? m_Servers.erase(Each) : std::next(Each);
  }
}

} // namespace carawaypond
