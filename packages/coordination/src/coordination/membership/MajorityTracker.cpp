#include "coordination/membership/MajorityTracker.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace carawaypond {

namespace {

// Drain statuses take this long to reach every VM. A VM that started or resumed
// more recently may not have received them.
constexpr std::uint64_t MinAwakeMillis = 1500;

std::uint64_t ageMillis(TimePoint AsOf, TimePoint Now) {
  Duration Age = std::max(Now - AsOf, Duration(0));
  return static_cast<std::uint64_t>(
      std::chrono::ceil<Milliseconds>(Age).count());
}

} // namespace

std::optional<TimePoint> MajorityTracker::majorityAsOf(std::size_t Total,
                                                       TimePoint Now) const {
  if (!m_Informed)
    return std::nullopt;
  std::vector<std::pair<TimePoint, std::size_t>> Heard = {{Now, 1}};
  for (const auto &[Name, Known] : m_Peers)
    if (Known.Informed && Known.SameCentre)
      Heard.emplace_back(Known.CoveredAsOf, 1);
  for (const auto &[Centre, Remote] : m_Remotes)
    Heard.emplace_back(Remote.AsOf, Remote.Heard);
  std::sort(Heard.begin(), Heard.end(), std::greater<>());
  std::size_t Sum = 0;
  for (const auto &[AsOf, Count] : Heard) {
    Sum += Count;
    if (2 * Sum > Total && Sum > 1)
      return std::min(AsOf, Now);
  }
  return std::nullopt;
}

std::optional<TimePoint> MajorityTracker::directAsOf(std::size_t Count) const {
  CARAWAYPOND_INVARIANT(Count > 0, "directAsOf() needs a count of at least 1");
  if (m_Peers.size() < Count)
    return std::nullopt;
  std::vector<TimePoint> Heard;
  for (const auto &[Name, Known] : m_Peers)
    Heard.push_back(Known.DirectAsOf);
  std::sort(Heard.begin(), Heard.end(), std::greater<>());
  return Heard[Count - 1];
}

std::optional<TimePoint>
MajorityTracker::centreAsOf(const DataCentre &Centre) const {
  auto Found = m_Remotes.find(Centre);
  if (Found == m_Remotes.end())
    return std::nullopt;
  return Found->second.AsOf;
}

std::vector<CentreHeard> MajorityTracker::summary(TimePoint Now,
                                                  Duration Window) const {
  CentreHeard Own{
      .Centre = m_Own, .Heard = m_Informed ? 1U : 0U, .AgeMillis = 0};
  for (const auto &[Name, Known] : m_Peers) {
    if (!Known.Informed || !Known.SameCentre ||
        Now - Known.CoveredAsOf > Window)
      continue;
    ++Own.Heard;
    Own.AgeMillis = std::max(Own.AgeMillis, ageMillis(Known.CoveredAsOf, Now));
  }
  std::vector<CentreHeard> All = {Own};
  for (const auto &[Centre, Remote] : m_Remotes)
    All.push_back({.Centre = Centre,
                   .Heard = Remote.Heard,
                   .AgeMillis = ageMillis(Remote.AsOf, Now)});
  return All;
}

void MajorityTracker::onReply(const Digest &Reply, bool Covers,
                              TimePoint SentAt) {
  Peer &Known = m_Peers[Reply.Sender.Name];
  Known.SameCentre = Reply.Sender.Centre == m_Own;
  if (Reply.AwakeMillis >= MinAwakeMillis)
    Known.DirectAsOf = std::max(Known.DirectAsOf, SentAt);
  if (!Covers)
    return;
  if (SentAt >= Known.CoveredAsOf) {
    Known.CoveredAsOf = SentAt;
    Known.Informed = Reply.Informed;
  }
  for (const CentreHeard &Told : Reply.Centres)
    onCentre(Told, SentAt);
}

void MajorityTracker::onCentre(const CentreHeard &Told, TimePoint SentAt) {
  if (Told.Centre == m_Own)
    return;
  TimePoint AsOf = SentAt - Milliseconds(Told.AgeMillis);
  auto [Known, IsNew] = m_Remotes.try_emplace(Told.Centre);
  if (IsNew || AsOf > Known->second.AsOf)
    Known->second = {.Heard = Told.Heard, .AsOf = AsOf};
}

} // namespace carawaypond
