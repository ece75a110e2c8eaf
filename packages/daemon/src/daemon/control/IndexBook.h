#pragma once

#include "coordination/membership/Digest.h"
#include "coordination/model/IndexObject.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief The index objects that this VM holds; a version never goes down.
class IndexBook {
public:
  using Entry = std::shared_ptr<const IndexObject>;

  /// @return The index, or nullptr.
  [[nodiscard]] Entry find(const std::string &Name) const;
  [[nodiscard]] const std::map<std::string, Entry> &all() const {
    return m_Indexes;
  }
  /// @return Indexes of which the sender holds a higher version.
  [[nodiscard]] std::vector<std::string> lacking(const Digest &Heard) const;

  /// @brief Takes an index if its version is higher.
  /// @return Whether it was.
  bool take(IndexObject New);
  /// @brief Adds versions to a digest: the latest changes, and a part that
  /// rotates through all.
  void fill(Digest &Out);

private:
  std::map<std::string, Entry> m_Indexes;
  std::vector<std::string> m_Recent; ///< Newest change first.
  std::string m_Cursor;
};

} // namespace carawaypond::daemon
