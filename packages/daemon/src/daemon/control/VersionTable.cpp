#include "daemon/control/VersionTable.h"

#include <algorithm>

namespace carawaypond::daemon {

namespace {

constexpr Milliseconds RecentChangePeriod{1500};
constexpr std::size_t MaxRecentRows = 128;
constexpr std::size_t RotatingRows = 32;

std::pair<std::uint64_t, IndexVersion>
newestOf(const std::vector<VersionRange> &Ranges) {
  std::pair<std::uint64_t, IndexVersion> Newest;
  for (const VersionRange &Range : Ranges)
    Newest = std::max(Newest, {Range.Layout, Range.Newest});
  return Newest;
}

} // namespace

std::vector<ServiceReplicaVersions>
VersionTable::take(const std::vector<ServiceReplicaVersions> &Rows,
                   TimePoint Now) {
  std::vector<ServiceReplicaVersions> Newer;
  for (const ServiceReplicaVersions &Heard : Rows) {
    Key Place{Heard.Service, Heard.Replica.Shard, Heard.Replica.Server};
    Row &Known = m_Rows[Place];
    if (newestOf(Heard.Replica.Ranges) <= newestOf(Known.Ranges))
      continue;
    m_Changes.erase({Known.ChangedAt, Place});
    Known = {.Ranges = Heard.Replica.Ranges, .ChangedAt = Now};
    m_Changes.emplace(Now, Place);
    Newer.push_back(Heard);
  }
  return Newer;
}

void VersionTable::expireOldChanges(TimePoint Now) {
  while (!m_Changes.empty() &&
         Now - m_Changes.begin()->first >= RecentChangePeriod)
    m_Changes.erase(m_Changes.begin());
}

void VersionTable::fill(Digest &Out, TimePoint Now) {
  auto Add = [&Out](const Key &Place, const Row &Known) {
    const auto &[Service, Shard, Server] = Place;
    Out.Versions.push_back({.Service = Service,
                            .Replica = {.Server = Server,
                                        .Shard = Shard,
                                        .Ranges = Known.Ranges}});
  };
  expireOldChanges(Now);
  for (const auto &[ChangedAt, Place] : m_Changes) {
    if (Out.Versions.size() >= MaxRecentRows)
      break;
    Add(Place, m_Rows.at(Place));
  }
  auto Next = m_Rows.upper_bound(m_Cursor);
  std::size_t Steps = std::min(RotatingRows, m_Rows.size());
  for (std::size_t I = 0; I < Steps; ++I) {
    if (Next == m_Rows.end())
      Next = m_Rows.begin();
    m_Cursor = Next->first;
    Add(Next->first, Next->second);
    ++Next;
  }
}

} // namespace carawaypond::daemon
