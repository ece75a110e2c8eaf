#pragma once

#include "coordination/snapshot/Snapshot.h"

#include <memory>
#include <string>
#include <utility>

namespace carawaypond {

/// @brief Keeps one index's pinned snapshot, and pins anew only after the
/// index or the board has changed.
class SnapshotPinner {
public:
  explicit SnapshotPinner(IndexObject Index) : m_Index(std::move(Index)) {}

  [[nodiscard]] const IndexObject &index() const { return m_Index; }
  [[nodiscard]] const VersionBoard &board() const { return m_Board; }
  [[nodiscard]] VersionBoard &board() { return m_Board; }

  /// @return The snapshot to read now, or Unavailable saying why not.
  [[nodiscard]] Result<std::shared_ptr<const PinnedSnapshot>> pin();

  /// @brief Takes a newer description of the index; an older one is ignored.
  void setIndex(IndexObject Index);

private:
  void pinAnew();

  IndexObject m_Index;
  VersionBoard m_Board;
  std::shared_ptr<const PinnedSnapshot> m_Pinned;
  std::string m_WhyNot;
  std::uint64_t m_PinnedRevision = 0;
  bool m_Fresh = false;
};

} // namespace carawaypond
