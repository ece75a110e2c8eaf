#pragma once

#include "coordination/membership/Digest.h"
#include "coordination/model/IndexObject.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief The index objects that this VM holds. The version of an index never
/// decreases.
class IndexRegistry {
public:
  using Entry = std::shared_ptr<const IndexObject>;

  /// @return The index, or nullptr.
  [[nodiscard]] Entry find(const std::string &Name) const;
  [[nodiscard]] const std::map<std::string, Entry> &all() const {
    return m_Indexes;
  }
  /// @return The names of the indexes that are missing here or older than the
  /// sender's version.
  [[nodiscard]] std::vector<std::string> lacking(const Digest &Heard) const;

  /// @brief Stores an index if its version is higher than the held one.
  /// @return Whether the index was stored.
  bool take(IndexObject New);
  /// @brief Adds index versions to a digest: the most recent changes, and a
  /// window that rotates through all indexes.
  void fill(Digest &Out);

private:
  std::map<std::string, Entry> m_Indexes;
  std::vector<std::string> m_Recent; ///< Most recently changed first.
  std::string m_Cursor;
};

} // namespace carawaypond::daemon
