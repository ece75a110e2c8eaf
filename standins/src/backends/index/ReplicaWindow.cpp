#include "backends/index/ReplicaWindow.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carawaypond::standins {

ReplicaWindow::ReplicaWindow(ServerName Server, const IndexTimeline &Timeline)
    : m_Server(std::move(Server)), m_Timeline(Timeline),
      m_Newest(Timeline.newest()) {}

IndexVersion ReplicaWindow::oldest() const {
  const VersionOptions &Options = m_Timeline.options();
  if (m_Newest.value() < Options.First + Options.Kept)
    return IndexVersion(Options.First);
  return IndexVersion(m_Newest.value() - Options.Kept + 1);
}

std::optional<Refusal> ReplicaWindow::refusalOf(ShardId Shard,
                                                std::uint64_t Layout,
                                                IndexVersion Version) const {
  if (Version > m_Newest)
    return VersionUnknownRefusal;
  if (Version < oldest() || m_Timeline.isWithdrawn(Version))
    return VersionGoneRefusal;
  const IndexLayout *Valid = m_Timeline.layoutOf(Version);
  if (!Valid || Valid->Layout != Layout)
    return WrongLayoutRefusal;
  if (!holds(*Valid, Shard))
    return ShardUnknownRefusal;
  return std::nullopt;
}

std::vector<ReplicaVersions> ReplicaWindow::served() const {
  std::map<ShardId, std::vector<VersionRange>> Ranges;
  for (const IndexLayout &Layout : m_Timeline.index().Layouts) {
    std::optional<VersionRange> Range = rangeOf(Layout);
    if (!Range)
      continue;
    for (const ShardReplicas &Shard : Layout.Shards)
      if (holds(Layout, Shard.Shard))
        Ranges[Shard.Shard].push_back(*Range);
  }
  std::vector<ReplicaVersions> Served;
  Served.reserve(Ranges.size());
  for (auto &[Shard, Of] : Ranges)
    Served.push_back(
        {.Server = m_Server, .Shard = Shard, .Ranges = std::move(Of)});
  return Served;
}

void ReplicaWindow::follow(std::uint64_t Lag) {
  std::uint64_t Newest = m_Timeline.newest().value();
  if (Newest > Lag)
    m_Newest = std::max(m_Newest, IndexVersion(Newest - Lag));
}

bool ReplicaWindow::holds(const IndexLayout &Layout, ShardId Shard) const {
  for (const ShardReplicas &Of : Layout.Shards)
    if (Of.Shard == Shard)
      return std::find(Of.Replicas.begin(), Of.Replicas.end(), m_Server) !=
             Of.Replicas.end();
  return false;
}

std::optional<VersionRange>
ReplicaWindow::rangeOf(const IndexLayout &Layout) const {
  IndexVersion Oldest = std::max(oldest(), Layout.FromVersion);
  IndexVersion Newest = m_Newest;
  if (std::optional<IndexVersion> End = m_Timeline.endOf(Layout))
    Newest = std::min(Newest, IndexVersion(End->value() - 1));
  while (Oldest <= Newest && m_Timeline.isWithdrawn(Oldest))
    Oldest = IndexVersion(Oldest.value() + 1);
  while (Oldest <= Newest && m_Timeline.isWithdrawn(Newest))
    Newest = IndexVersion(Newest.value() - 1);
  if (Oldest > Newest)
    return std::nullopt;
  return VersionRange{
      .Layout = Layout.Layout, .Oldest = Oldest, .Newest = Newest};
}

} // namespace carawaypond::standins
