#pragma once

#include <cstddef>
#include <cstdint>

namespace carawaypond {

/// @brief From which revision of the store to watch.
///
/// Answers a store that stops telling its watchers of changes, then drops its
/// history and cuts them: an answer without changes proves nothing, so the
/// cursor stays; after a watch that failed, everything is listed.
class WatchCursor {
public:
  /// @return Whether everything must be listed before the next watch.
  [[nodiscard]] bool mustList() const { return m_Revision == 0; }
  [[nodiscard]] std::uint64_t revision() const { return m_Revision; }

  /// @brief Takes the revision of a list.
  void onListed(std::uint64_t Revision) { m_Revision = Revision; }
  /// @brief Takes a watch's answer.
  /// @param Changes How many changes it told.
  /// @param Revision The store's revision that it gave.
  void onAnswer(std::size_t Changes, std::uint64_t Revision) {
    if (Changes > 0 && Revision > m_Revision)
      m_Revision = Revision;
  }
  /// @brief A watch failed, whatever the reason. A store that dropped the
  /// changes since the cursor may keep the next watch waiting before it says
  /// so.
  void onFailed() { m_Revision = 0; }

private:
  std::uint64_t m_Revision = 0;
};

} // namespace carawaypond
