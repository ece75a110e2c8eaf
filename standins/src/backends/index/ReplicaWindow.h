#pragma once

#include "backends/index/IndexTimeline.h"
#include "backends/index/Refusal.h"

#include <optional>
#include <vector>

namespace carawaypond::standins {

/// @brief The range of index versions that one server serves. It may lag
/// behind the index and never moves back.
class ReplicaWindow {
public:
  ReplicaWindow(ServerName Server, const IndexTimeline &Timeline);

  [[nodiscard]] IndexVersion newest() const { return m_Newest; }
  [[nodiscard]] IndexVersion oldest() const;
  /// @return Why @p Shard of @p Layout can't be searched at @p Version, if so.
  [[nodiscard]] std::optional<Refusal>
  refusalOf(ShardId Shard, std::uint64_t Layout, IndexVersion Version) const;
  /// @return The version ranges that this server serves for each shard.
  [[nodiscard]] std::vector<ReplicaVersions> served() const;

  /// @brief Advances to @p Lag versions behind the index's newest one.
  void follow(std::uint64_t Lag);

private:
  [[nodiscard]] bool holds(const IndexLayout &Layout, ShardId Shard) const;
  [[nodiscard]] std::optional<VersionRange>
  rangeOf(const IndexLayout &Layout) const;

  ServerName m_Server;
  const IndexTimeline &m_Timeline;
  IndexVersion m_Newest;
};

} // namespace carawaypond::standins
