#include "coordination/snapshot/SnapshotPinner.h"

#include <utility>

namespace carawaypond {

Result<std::shared_ptr<const PinnedSnapshot>> SnapshotPinner::pin() {
  if (!m_Fresh || m_PinnedRevision != m_Board.revision()) {
    pinAnew();
    m_PinnedRevision = m_Board.revision();
    m_Fresh = true;
  }
  if (!m_Pinned)
    return failure(ErrorCode::Unavailable, m_WhyNot);
  return m_Pinned;
}

void SnapshotPinner::pinAnew() {
  m_Pinned = nullptr;
  Result<PinnedSnapshot> Found = pinSnapshot(m_Index, m_Board);
  if (Found)
    m_Pinned = std::make_shared<const PinnedSnapshot>(std::move(Found).value());
  else
    m_WhyNot = Found.error().Message;
}

void SnapshotPinner::setIndex(IndexObject Index) {
  if (Index.ObjectVersion < m_Index.ObjectVersion)
    return;
  m_Index = std::move(Index);
  m_Fresh = false;
}

} // namespace carawaypond
