#include "ServerModel.h"

#include <algorithm>

namespace carawaypond::proof {

std::vector<ReplicaVersions> ServerModel::status() const {
  std::map<ShardId, ReplicaVersions> Shards;
  for (const auto &[Key, Range] : m_Held) {
    ReplicaVersions &Shard = Shards[Key.second];
    Shard.Server = m_Name;
    Shard.Shard = Key.second;
    Shard.Ranges.push_back(Range);
  }
  std::vector<ReplicaVersions> All;
  All.reserve(Shards.size());
  for (auto &[Id, Shard] : Shards)
    All.push_back(std::move(Shard));
  return All;
}

void ServerModel::addServedShard(std::uint64_t Layout, ShardId Shard) {
  m_Held[{Layout, Shard}] = VersionRange{
      .Layout = Layout, .Oldest = IndexVersion(0), .Newest = IndexVersion(0)};
}

void ServerModel::catchUp(IndexVersion Newest) {
  for (auto &[Key, Range] : m_Held)
    Range.Newest = std::max(Range.Newest, Newest);
}

void ServerModel::withdraw(IndexVersion Oldest) {
  for (auto &[Key, Range] : m_Held)
    Range.Oldest = std::clamp(Oldest, Range.Oldest, Range.Newest);
}

ServerRefusal ServerModel::versionRefusal(const Subrequest &Request) const {
  auto Found = m_Held.find({Request.Layout, Request.Shard});
  if (Found == m_Held.end())
    return {.Reason = SubReason::WrongLayout, .Ran = false, .Served = {}};
  SubReason Reason = Request.Version < Found->second.Oldest
                         ? SubReason::VersionGone
                         : SubReason::VersionUnknown;
  return {.Reason = Reason, .Ran = false, .Served = {Found->second}};
}

IndexVersion ServerModel::newestFor(const Subrequest &Request) const {
  auto Found = m_Held.find({Request.Layout, Request.Shard});
  return Found == m_Held.end() ? IndexVersion(0) : Found->second.Newest;
}

std::optional<ReplyFromServer>
ServerModel::receive(const AttemptToServer &Arrived, TimePoint Now) {
  const Subrequest &Request = Arrived.Send.Request;
  ReplyFromServer Refusal{.Owner = Arrived.Owner,
                          .Attempt = Arrived.Send.Attempt,
                          .Answer = ServerRefusal{}};
  auto Refuse = [&](SubReason Reason) {
    Refusal.Answer =
        ServerRefusal{.Reason = Reason, .Ran = false, .Served = {}};
    return Refusal;
  };
  if (Request.Deadline <= Now)
    return Refuse(SubReason::Deadline);
  if (m_Leaving)
    return Refuse(SubReason::Draining);
  if (m_ShedNext) {
    m_ShedNext = false;
    return Refuse(SubReason::Shed);
  }
  auto Found = m_Held.find({Request.Layout, Request.Shard});
  bool IsServed = Found != m_Held.end() &&
                  Found->second.Oldest <= Request.Version &&
                  Request.Version <= Found->second.Newest;
  if (!IsServed) {
    Refusal.Answer = versionRefusal(Request);
    return Refusal;
  }
  m_Running.push_back({.Owner = Arrived.Owner, .Send = Arrived.Send});
  return std::nullopt;
}

RunningAttempt ServerModel::takeRunning(std::uint32_t Pick) {
  auto It =
      m_Running.begin() + static_cast<std::ptrdiff_t>(Pick % m_Running.size());
  RunningAttempt Taken = std::move(*It);
  m_Running.erase(It);
  return Taken;
}

} // namespace carawaypond::proof
