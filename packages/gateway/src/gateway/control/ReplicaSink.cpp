#include "gateway/control/ReplicaSink.h"

#include "adapter/ReplicaCodec.h"

#include <algorithm>

namespace carawaypond::gateway {

const char *ReplicaSink::kind() { return adapter::ReplicaKind; }

void ReplicaSink::listed(const adapter::StoredDocument &Document) {
  if (auto Read = adapter::decodeReplica(Document.Name, Document.Content))
    m_Listed.push_back(std::move(*Read));
  else
    logUnreadable(Document.Name);
}

void ReplicaSink::endList(std::uint64_t Revision) {
  m_State.replaceReplicas(std::move(m_Listed), Revision, StoreSource);
  m_Listed.clear();
}

void ReplicaSink::changed(const adapter::DocumentChange &Change) {
  const std::string &Name = Change.Document.Name;
  if (Change.IsRemoved)
    return m_State.removeReplica(ServerName(Name));
  if (auto Read = adapter::decodeReplica(Name, Change.Document.Content))
    return m_State.putReplica(std::move(*Read));
  logUnreadable(Name);
  m_State.removeReplica(ServerName(Name));
}

void ReplicaSink::followed(std::uint64_t Revision) {
  m_State.setReplicaRevision(std::max(m_State.replicaRevision(), Revision));
}

void ReplicaSink::logUnreadable(const std::string &Name) {
  LogLine Line("replica_unreadable");
  Line.add("replica", Name);
  m_Log.write(Line);
}

} // namespace carawaypond::gateway
