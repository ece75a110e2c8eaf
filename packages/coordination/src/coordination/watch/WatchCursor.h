#pragma once

#include <cstddef>
#include <cstdint>

namespace carawaypond {

/// @brief The revision of the store from which the next watch starts.
///
/// Handles a store that stops notifying its watchers of changes, then compacts
/// its history and closes the watches. An answer without changes doesn't prove
/// that there were none, so it doesn't move the cursor. After a failed watch,
/// everything must be listed again.
class WatchCursor {
public:
  /// @return Whether everything must be listed before the next watch.
  [[nodiscard]] bool mustList() const { return m_Revision == 0; }
  [[nodiscard]] std::uint64_t revision() const { return m_Revision; }

  /// @brief Sets the cursor to the revision of a list.
  void onListed(std::uint64_t Revision) { m_Revision = Revision; }
  /// @brief Handles the answer to a watch.
  /// @param Changes Number of changes in the answer.
  /// @param Revision The store's revision in the answer.
  void onAnswer(std::size_t Changes, std::uint64_t Revision) {
    if (Changes > 0 && Revision > m_Revision)
      m_Revision = Revision;
  }
  /// @brief Handles a failed watch, whatever the reason. A store that compacted
  /// the changes since the cursor may delay its error answer to the next watch.
  void onFailed() { m_Revision = 0; }

private:
  std::uint64_t m_Revision = 0;
};

} // namespace carawaypond
