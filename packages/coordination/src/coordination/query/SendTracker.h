#pragma once

#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace carawaypond::internal {

/// @brief How far one send is known to have gone.
enum class SendState { Outstanding, NotRun, InDoubt, Ran };

/// @brief A subrequest handed to an owner.
struct SendRecord {
  VmName Owner;
  ShardId Shard;
  std::size_t Place = 0;   ///< The shard's place in its round.
  std::uint32_t Round = 0; ///< The restart that it belongs to.
  SendState State = SendState::Outstanding;
};

/// @brief All sends of one query, restarts included, and how many of them may
/// have run.
class SendLedger {
public:
  /// @return How many sends are not known to have not run.
  [[nodiscard]] std::size_t possiblyRun() const { return m_PossiblyRun; }
  /// @return The record, or nullptr when the id is another query's.
  [[nodiscard]] SendRecord *find(SubrequestId Id);
  /// @return Some record of the shard in that round, or nullptr.
  [[nodiscard]] SendRecord *findShard(ShardId Shard, std::uint32_t Round);
  [[nodiscard]] const SendRecord &at(SubrequestId Id) const {
    return m_Sends.at(Id);
  }
  [[nodiscard]] bool noneRan(const std::vector<SubrequestId> &Ids) const;
  [[nodiscard]] bool anyOutstanding(const std::vector<SubrequestId> &Ids) const;

  void add(SubrequestId Id, SendRecord Record);
  void setState(SendRecord &Record, SendState State);

private:
  std::unordered_map<SubrequestId, SendRecord> m_Sends;
  std::size_t m_PossiblyRun = 0;
};

} // namespace carawaypond::internal
