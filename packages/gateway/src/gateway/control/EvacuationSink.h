#pragma once

#include "adapter/StoredDocument.h"
#include "coordination/evacuation/EvacuationList.h"
#include "gateway/control/FleetState.h"
#include "gateway/log/EventLog.h"

#include <set>
#include <string>

namespace carawaypond::gateway {

/// @brief Applies the evacuations in the store to the FleetState. Only the
/// presence of an object counts, whatever it holds.
class EvacuationSink {
public:
  EvacuationSink(FleetState &State, EventLog &Log)
      : m_State(State), m_Log(Log) {}

  [[nodiscard]] static const char *kind();

  void beginList() { m_Listed.Centres.clear(); }
  void listed(const adapter::StoredDocument &Document);
  void endList(StoreRevision Revision);
  void changed(const adapter::DocumentChange &Change);
  void followed(StoreRevision Revision);
  void confirm(TimePoint At) { m_State.confirmEvacuations(At); }
  void prove(BootTime) {}

private:
  /// @return Whether the object names a data centre. One that doesn't is
  /// logged.
  bool checkName(const adapter::StoredDocument &Document);
  /// @brief Logs and counts each name once.
  void logInvalidName(const adapter::StoredDocument &Document);

  FleetState &m_State;
  EventLog &m_Log;
  /// Collected from the pages of the list in progress.
  EvacuationList m_Listed;
  std::set<std::string> m_InvalidNames; ///< Those that were logged.
};

} // namespace carawaypond::gateway
