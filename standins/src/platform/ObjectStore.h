#pragma once

#include "platform/StoredObject.h"
#include "platform/WriteCondition.h"
#include "platform/WriteOutcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawaypond::standins {

/// @brief Maximum size of an object's value.
inline constexpr std::size_t MaxValueBytes = 1U << 20U;

/// @brief Versioned objects with conditional writes and a revision that grows
/// with every write. Objects are never removed.
class ObjectStore {
public:
  /// @return The revision of the last write of any kind.
  [[nodiscard]] std::uint64_t revision() const { return m_Revision; }
  /// @return The object, or nullptr.
  [[nodiscard]] const StoredObject *find(const std::string &Kind,
                                         const std::string &Name) const;
  /// @return The objects of @p Kind whose last write came after @p Revision,
  /// in the order of their writes.
  [[nodiscard]] std::vector<StoredObject>
  changedSince(const std::string &Kind, std::uint64_t Revision) const;
  /// @return Whether a watch may start after @p Revision.
  [[nodiscard]] bool canWatchAfter(std::uint64_t Revision) const;

  /// @brief Writes @p Value if @p Condition holds.
  WriteOutcome write(const std::string &Kind, const std::string &Name,
                     const WriteCondition &Condition, std::string Value);
  /// @brief Discards the history before the current revision; watches from an
  /// older revision are refused with 410.
  void compact() { m_OldestWatch = m_Revision; }

private:
  struct KindObjects {
    std::map<std::string, StoredObject> ByName;
    std::map<std::uint64_t, std::string> ByRevision;
  };

  std::uint64_t m_Revision = 0;
  std::uint64_t m_OldestWatch = 0;
  std::map<std::string, KindObjects> m_Kinds;
};

} // namespace carawaypond::standins
