#include "gateway/control/ReplicaSink.h"

#include "adapter/ReplicaCodec.h"

namespace carawaypond::gateway {

namespace {

/// Bounds memory; beyond it, entries are logged again.
constexpr std::size_t MaxUnreadable = 1'000;

} // namespace

const char *ReplicaSink::kind() { return adapter::ReplicaKind; }

void ReplicaSink::listed(const adapter::StoredDocument &Document) {
  auto Read = adapter::decodeReplica(Document.Name, Document.Content);
  if (!Read)
    return logUnreadable(Document);
  m_Listed.push_back(
      {.Record = std::move(*Read), .Revision = Document.Revision});
}

void ReplicaSink::endList(StoreRevision Revision) {
  m_State.mergeReplicas({.AsOf = Revision, .Replicas = std::move(m_Listed)},
                        StoreSource);
  m_Listed.clear();
}

void ReplicaSink::changed(const adapter::DocumentChange &Change) {
  const std::string &Name = Change.Document.Name;
  RemovedReplica Removed{.Id = ServerName(Name),
                         .Revision = Change.Document.Revision};
  if (Change.IsRemoved)
    return m_State.removeReplica(Removed);
  if (auto Read = adapter::decodeReplica(Name, Change.Document.Content))
    return m_State.putReplica(std::move(*Read), Removed.Revision);
  logUnreadable(Change.Document);
  m_State.removeReplica(Removed);
}

void ReplicaSink::followed(StoreRevision Revision) {
  m_State.advanceReplicas(Revision);
}

void ReplicaSink::logUnreadable(const adapter::StoredDocument &Document) {
  if (m_Unreadable.size() >= MaxUnreadable)
    m_Unreadable.clear();
  auto [Found, IsNew] =
      m_Unreadable.try_emplace(Document.Name, Document.Revision);
  if (!IsNew && Found->second == Document.Revision)
    return;
  Found->second = Document.Revision;
  m_State.onUnreadable(1);
  LogLine Line("replica_unreadable");
  Line.add("replica", Document.Name);
  Line.add("revision", Document.Revision.number());
  m_Log.write(Line);
}

} // namespace carawaypond::gateway
