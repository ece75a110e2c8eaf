#include "coordination/snapshot/ReplicaVersionTracker.h"

#include <algorithm>

namespace carawaypond {

const VersionRange *ReplicaVersionTracker::rangeOf(const ServerName &Server,
                                                   ShardId Shard,
                                                   std::uint64_t Layout) const {
  auto Found = m_Replicas.find({Server, Shard});
  if (Found == m_Replicas.end())
    return nullptr;
  for (const Heard &Known : Found->second)
    if (Known.Range.Layout == Layout)
      return &Known.Range;
  return nullptr;
}

Serves ReplicaVersionTracker::serves(const ServerName &Server, ShardId Shard,
                                     std::uint64_t Layout,
                                     IndexVersion Version) const {
  const VersionRange *Range = rangeOf(Server, Shard, Layout);
  if (Range == nullptr)
    return Serves::Unknown;
  bool IsInside = Range->Oldest <= Version && Version <= Range->Newest;
  return IsInside ? Serves::Yes : Serves::No;
}

ServerState ReplicaVersionTracker::stateOf(const ServerName &Server) const {
  auto Found = m_States.find(Server);
  return Found == m_States.end() ? ServerState::Up : Found->second;
}

ReplicaVersionTracker::Heard *
ReplicaVersionTracker::find(const Replica &Key, std::uint64_t Layout) {
  for (Heard &Known : m_Replicas[Key])
    if (Known.Range.Layout == Layout)
      return &Known;
  return nullptr;
}

void ReplicaVersionTracker::set(const Replica &Key, const VersionRange &Range,
                                TimePoint At) {
  Heard *Known = find(Key, Range.Layout);
  if (Known == nullptr) {
    m_Replicas[Key].push_back({.Range = Range, .At = At});
    ++m_Revision;
    return;
  }
  Known->At = std::max(Known->At, At);
  if (Known->Range == Range)
    return;
  Known->Range = Range;
  ++m_Revision;
}

void ReplicaVersionTracker::merge(const Replica &Key, const VersionRange &Range,
                                  TimePoint At) {
  const Heard *Known = find(Key, Range.Layout);
  VersionRange Merged = Range;
  if (Known != nullptr) {
    Merged.Oldest = std::max(Known->Range.Oldest, Range.Oldest);
    Merged.Newest = std::max(Known->Range.Newest, Range.Newest);
  }
  set(Key, Merged, At);
}

void ReplicaVersionTracker::noteStatus(const ReplicaVersions &Status,
                                       TimePoint ObservedAt) {
  Replica Key{Status.Server, Status.Shard};
  for (const VersionRange &Range : Status.Ranges)
    merge(Key, Range, ObservedAt);
  auto IsDropped = [&](const Heard &Known) {
    bool IsListed = std::any_of(Status.Ranges.begin(), Status.Ranges.end(),
                                [&](const VersionRange &Range) {
                                  return Range.Layout == Known.Range.Layout;
                                });
    return !IsListed && Known.At <= ObservedAt;
  };
  if (std::erase_if(m_Replicas[Key], IsDropped) > 0)
    ++m_Revision;
}

void ReplicaVersionTracker::noteAnswer(const ServerName &Server, ShardId Shard,
                                       const VersionRange &Range,
                                       TimePoint Now) {
  merge({Server, Shard}, Range, Now);
}

void ReplicaVersionTracker::noteRefusal(const ServerName &Server, ShardId Shard,
                                        const VersionRange &Range,
                                        TimePoint Now) {
  set({Server, Shard}, Range, Now);
}

void ReplicaVersionTracker::setState(const ServerName &Server,
                                     ServerState State) {
  if (stateOf(Server) == State)
    return;
  m_States[Server] = State;
  ++m_Revision;
}

} // namespace carawaypond
