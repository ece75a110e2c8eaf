#include "coordination/snapshot/Snapshot.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace carawaypond {

namespace {

constexpr std::uint64_t MaxIndexVersion =
    std::numeric_limits<std::uint64_t>::max();

/// @brief Version ranges of the usable replicas of one shard.
using ShardRanges = std::vector<VersionRange>;

/// @brief Searches for the newest common version within one layout.
class LayoutVersionSearch {
public:
  LayoutVersionSearch(const IndexObject &Index,
                      const ReplicaVersionTracker &Board,
                      const IndexLayout &Layout, IndexVersion LastVersion)
      : m_Index(Index), m_Board(Board), m_Layout(Layout),
        m_LastVersion(LastVersion) {
    for (const ShardReplicas &Shard : Layout.Shards)
      addShard(Shard);
  }

  [[nodiscard]] std::size_t unreachable() const { return m_Unreachable; }

  [[nodiscard]] std::optional<PinnedSnapshot> newest() const {
    std::set<IndexVersion, std::greater<>> Candidates = candidates();
    for (const IndexVersion &Version : Candidates)
      if (isServedByAll(Version))
        return PinnedSnapshot{
            .Version = Version, .Layout = m_Layout.Layout, .Shards = m_Shards};
    return std::nullopt;
  }

private:
  [[nodiscard]] bool isUsable(const ServerName &Server) const {
    const ServerInfo *Info = m_Index.findServer(Server);
    return Info != nullptr && !Info->Leaving &&
           m_Board.stateOf(Server) == ServerState::Up;
  }

  void addShard(const ShardReplicas &Shard) {
    ShardRanges Ranges;
    bool Reachable = false;
    for (const ServerName &Server : Shard.Replicas) {
      if (!isUsable(Server))
        continue;
      Reachable = true;
      addRange(Ranges, Server, Shard.Shard);
    }
    m_Shards.push_back({.Replicas = Shard, .Reachable = Reachable});
    if (Reachable)
      m_Ranges.push_back(std::move(Ranges));
    else
      ++m_Unreachable;
  }

  /// Adds the part of the replica's range for which the layout is valid.
  void addRange(ShardRanges &Ranges, const ServerName &Server,
                ShardId Shard) const {
    const VersionRange *Known = m_Board.rangeOf(Server, Shard, m_Layout.Layout);
    if (Known == nullptr)
      return;
    VersionRange Part = *Known;
    Part.Oldest = std::max(Part.Oldest, m_Layout.FromVersion);
    Part.Newest = std::min(Part.Newest, m_LastVersion);
    if (Part.Oldest <= Part.Newest)
      Ranges.push_back(Part);
  }

  /// @return The newest version of every range, newest first. The newest common
  /// version is the upper end of one of the ranges.
  [[nodiscard]] std::set<IndexVersion, std::greater<>> candidates() const {
    std::set<IndexVersion, std::greater<>> Versions;
    for (const ShardRanges &Ranges : m_Ranges)
      for (const VersionRange &Range : Ranges)
        Versions.insert(Range.Newest);
    return Versions;
  }

  [[nodiscard]] bool isServedByAll(IndexVersion Version) const {
    auto Serves = [&](const VersionRange &Range) {
      return Range.Oldest <= Version && Version <= Range.Newest;
    };
    return std::all_of(
        m_Ranges.begin(), m_Ranges.end(), [&](const ShardRanges &Ranges) {
          return std::any_of(Ranges.begin(), Ranges.end(), Serves);
        });
  }

  const IndexObject &m_Index;
  const ReplicaVersionTracker &m_Board;
  const IndexLayout &m_Layout;
  IndexVersion m_LastVersion;
  std::vector<PinnedShard> m_Shards;
  std::vector<ShardRanges> m_Ranges; ///< Only of reachable shards.
  std::size_t m_Unreachable = 0;
};

IndexVersion lastVersionOf(const IndexObject &Index, std::size_t Layout) {
  if (Layout + 1 == Index.Layouts.size())
    return IndexVersion(MaxIndexVersion);
  return IndexVersion(Index.Layouts[Layout + 1].FromVersion.value() - 1);
}

} // namespace

Result<PinnedSnapshot> pinSnapshot(const IndexObject &Index,
                                   const ReplicaVersionTracker &Board) {
  std::optional<PinnedSnapshot> Best;
  std::size_t FewestUnreachable = std::numeric_limits<std::size_t>::max();
  for (std::size_t I = Index.Layouts.size(); I-- > 0;) {
    LayoutVersionSearch Pin(Index, Board, Index.Layouts[I],
                            lastVersionOf(Index, I));
    if (Pin.unreachable() >= FewestUnreachable)
      continue;
    std::optional<PinnedSnapshot> Found = Pin.newest();
    if (!Found)
      continue;
    Best = std::move(Found);
    FewestUnreachable = Pin.unreachable();
  }
  if (Best)
    return *std::move(Best);
  if (Index.Layouts.empty())
    return failure(ErrorCode::Unavailable,
                   "index \"" + Index.Name + "\" has no layout");
  return failure(ErrorCode::Unavailable,
                 "index \"" + Index.Name +
                     "\" has no version that every shard is known to serve");
}

} // namespace carawaypond
