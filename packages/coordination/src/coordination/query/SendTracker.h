#pragma once

#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace carawaypond::internal {

/// @brief What is known of the execution of one send.
enum class SendState { Outstanding, NotRun, InDoubt, Ran };

/// @brief A subrequest sent to an owner.
struct SendRecord {
  VmName Owner;
  ShardId Shard;
  std::size_t ShardIndex = 0; ///< Position in the round's snapshot.
  std::uint32_t Round = 0;    ///< Number of restarts before it.
  SendState State = SendState::Outstanding;
};

/// @brief All sends of one query, restarts included, and how many of them may
/// have run.
class SendTracker {
public:
  /// @return The number of sends that may have run: all except those known not
  /// to have run.
  [[nodiscard]] std::size_t possiblyRun() const { return m_PossiblyRun; }
  /// @return The record, or nullptr if this query has no send of that id.
  [[nodiscard]] SendRecord *find(SubrequestId Id);
  /// @return Any record of the shard in that round, or nullptr.
  [[nodiscard]] SendRecord *findShard(ShardId Shard, std::uint32_t Round);
  [[nodiscard]] const SendRecord &at(SubrequestId Id) const {
    return m_Sends.at(Id);
  }
  [[nodiscard]] bool noneMayHaveRun(const std::vector<SubrequestId> &Ids) const;
  [[nodiscard]] bool anyOutstanding(const std::vector<SubrequestId> &Ids) const;

  void add(SubrequestId Id, SendRecord Record);
  void setState(SendRecord &Record, SendState State);

private:
  std::unordered_map<SubrequestId, SendRecord> m_Sends;
  std::size_t m_PossiblyRun = 0;
};

} // namespace carawaypond::internal
