#pragma once

#include "adapter/StoredDocument.h"
#include "gateway/control/FleetState.h"
#include "gateway/log/EventLog.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond::gateway {

/// @brief Takes the replicas' entries from the store.
class ReplicaSink {
public:
  ReplicaSink(FleetState &State, EventLog &Log) : m_State(State), m_Log(Log) {}

  [[nodiscard]] static const char *kind();

  void beginList() { m_Listed.clear(); }
  void listed(const adapter::StoredDocument &Document);
  void endList(std::uint64_t Revision);
  void changed(const adapter::DocumentChange &Change);
  void followed(std::uint64_t Revision);
  void confirm(TimePoint At) { m_State.confirmReplicas(At); }

private:
  void logUnreadable(const std::string &Name);

  FleetState &m_State;
  EventLog &m_Log;
  std::vector<ReplicaRecord> m_Listed; ///< By the list that is being read.
};

} // namespace carawaypond::gateway
