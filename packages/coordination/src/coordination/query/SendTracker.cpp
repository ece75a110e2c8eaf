#include "coordination/query/SendTracker.h"

#include <algorithm>
#include <utility>

namespace carawaypond::internal {

SendRecord *SendTracker::find(SubrequestId Id) {
  auto Found = m_Sends.find(Id);
  return Found == m_Sends.end() ? nullptr : &Found->second;
}

SendRecord *SendTracker::findShard(ShardId Shard, std::uint32_t Round) {
  auto IsWanted = [&](const auto &Each) {
    return Each.second.Shard == Shard && Each.second.Round == Round;
  };
  auto Found = std::find_if(m_Sends.begin(), m_Sends.end(), IsWanted);
  return Found == m_Sends.end() ? nullptr : &Found->second;
}

bool SendTracker::noneMayHaveRun(const std::vector<SubrequestId> &Ids) const {
  return std::all_of(Ids.begin(), Ids.end(), [&](SubrequestId Id) {
    return at(Id).State == SendState::NotRun;
  });
}

bool SendTracker::anyOutstanding(const std::vector<SubrequestId> &Ids) const {
  return std::any_of(Ids.begin(), Ids.end(), [&](SubrequestId Id) {
    return at(Id).State == SendState::Outstanding;
  });
}

void SendTracker::add(SubrequestId Id, SendRecord Record) {
  m_Sends.emplace(Id, std::move(Record));
  ++m_PossiblyRun;
}

void SendTracker::setState(SendRecord &Record, SendState State) {
  if (Record.State != SendState::NotRun)
    --m_PossiblyRun;
  Record.State = State;
  if (State != SendState::NotRun)
    ++m_PossiblyRun;
}

} // namespace carawaypond::internal
