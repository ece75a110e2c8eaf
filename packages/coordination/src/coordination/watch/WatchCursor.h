#pragma once

#include "core/id/StoreRevision.h"

#include <cstddef>

namespace carawaypond {

/// @brief The revision of the store from which the next watch starts.
///
/// Handles a store that stops notifying its watchers of changes, then compacts
/// its history and closes the watches. An answer without changes doesn't prove
/// that there were none, so it doesn't move the cursor. After a failed watch,
/// and after an answer of another era of the store, everything must be listed
/// again: a store that came back from a copy gives revisions out again, so that
/// a watch from one of them can succeed and yet miss changes.
class WatchCursor {
public:
  /// @return Whether everything must be listed before the next watch.
  [[nodiscard]] bool mustList() const { return m_Revision.number() == 0; }
  [[nodiscard]] StoreRevision revision() const { return m_Revision; }

  /// @brief Sets the cursor to the revision of a list.
  void onListed(StoreRevision Revision) { m_Revision = Revision; }
  /// @brief Handles the answer to a watch.
  /// @param Changes Number of changes in the answer.
  /// @param Revision The store's revision in the answer.
  void onAnswer(std::size_t Changes, StoreRevision Revision) {
    if (Revision.era() != m_Revision.era())
      m_Revision = StoreRevision();
    else if (Changes > 0 && Revision > m_Revision)
      m_Revision = Revision;
  }
  /// @brief Handles a failed watch, whatever the reason. A store that compacted
  /// the changes since the cursor may delay its error answer to the next watch.
  void onFailed() { m_Revision = StoreRevision(); }

private:
  StoreRevision m_Revision;
};

} // namespace carawaypond
