#pragma once

#include "adapter/StoredDocument.h"
#include "gateway/control/FleetState.h"
#include "gateway/log/EventLog.h"

#include <map>
#include <string>
#include <vector>

namespace carawaypond::gateway {

/// @brief Applies the replica entries in the store to the FleetState.
class ReplicaSink {
public:
  ReplicaSink(FleetState &State, EventLog &Log) : m_State(State), m_Log(Log) {}

  [[nodiscard]] static const char *kind();

  void beginList() { m_Listed.clear(); }
  void listed(const adapter::StoredDocument &Document);
  void endList(StoreRevision Revision);
  void changed(const adapter::DocumentChange &Change);
  void followed(StoreRevision Revision);
  void confirm(TimePoint At) { m_State.confirmReplicas(At); }
  void prove(BootTime) {}

private:
  /// @brief Logs an entry that names no replica, once for each of its changes.
  void logUnreadable(const adapter::StoredDocument &Document);

  FleetState &m_State;
  EventLog &m_Log;
  /// Entries collected from the pages of the list in progress.
  std::vector<KnownReplica> m_Listed;
  /// The logged entries by name, with the revision of their last change.
  std::map<std::string, StoreRevision> m_Unreadable;
};

} // namespace carawaypond::gateway
