#pragma once

#include "coordination/replicas/ReplicaBook.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace carawaypond::gateway {

/// @brief The latest changes of the known replicas, numbered, for VMs that
/// follow this one.
class ReplicaChanges {
public:
  /// @brief A replica as it became, or nothing if it is gone.
  struct Change {
    std::uint64_t Sequence = 0;
    ServerName Id;
    std::optional<ReplicaRecord> Record;
  };

  /// @return The number of the latest change; 0 before the first.
  [[nodiscard]] std::uint64_t sequence() const { return m_Sequence; }
  /// @return The changes after @p Sequence; nothing if some are forgotten.
  [[nodiscard]] std::optional<std::vector<Change>>
  since(std::uint64_t Sequence) const;

  /// @brief Takes the replicas as they are now.
  void follow(const ReplicaBook::Entries &Now);

private:
  static constexpr std::size_t MaxKept = 4'096;

  void add(const ServerName &Id, std::optional<ReplicaRecord> Record);

  ReplicaBook::Entries m_Known;
  std::deque<Change> m_Kept;
  std::uint64_t m_Sequence = 0;
};

} // namespace carawaypond::gateway
