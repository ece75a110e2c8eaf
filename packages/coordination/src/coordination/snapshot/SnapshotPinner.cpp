#include "coordination/snapshot/SnapshotPinner.h"

#include <utility>

namespace carawaypond {

Result<std::shared_ptr<const PinnedSnapshot>> SnapshotPinner::pin() {
  if (!m_IsCurrent || m_PinnedRevision != m_Board.revision()) {
    refreshPin();
    m_PinnedRevision = m_Board.revision();
    m_IsCurrent = true;
  }
  if (!m_Pinned)
    return failure(ErrorCode::Unavailable, m_ErrorText);
  return m_Pinned;
}

void SnapshotPinner::refreshPin() {
  m_Pinned = nullptr;
  Result<PinnedSnapshot> Found = pinSnapshot(m_Index, m_Board);
  if (Found)
    m_Pinned = std::make_shared<const PinnedSnapshot>(std::move(Found).value());
  else
    m_ErrorText = Found.error().Message;
}

void SnapshotPinner::setIndex(IndexObject Index) {
  if (Index.ObjectVersion < m_Index.ObjectVersion)
    return;
  m_Index = std::move(Index);
  m_IsCurrent = false;
}

} // namespace carawaypond
