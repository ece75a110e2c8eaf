#pragma once

#include "coordination/snapshot/Snapshot.h"

#include <memory>
#include <string>
#include <utility>

namespace carawaypond {

/// @brief Caches the pinned snapshot of one index. It is computed again only
/// after the index or the replicas' versions have changed.
class SnapshotPinner {
public:
  explicit SnapshotPinner(IndexObject Index) : m_Index(std::move(Index)) {}

  [[nodiscard]] const IndexObject &index() const { return m_Index; }
  [[nodiscard]] const ReplicaVersionTracker &board() const { return m_Board; }
  [[nodiscard]] ReplicaVersionTracker &board() { return m_Board; }

  /// @return The snapshot to read now, or Unavailable with the reason.
  [[nodiscard]] Result<std::shared_ptr<const PinnedSnapshot>> pin();

  /// @brief Sets a newer description of the index. An older one is ignored.
  void setIndex(IndexObject Index);

private:
  void refreshPin();

  IndexObject m_Index;
  ReplicaVersionTracker m_Board;
  std::shared_ptr<const PinnedSnapshot> m_Pinned;
  std::string m_ErrorText;
  std::uint64_t m_PinnedRevision = 0;
  bool m_IsCurrent = false;
};

} // namespace carawaypond
