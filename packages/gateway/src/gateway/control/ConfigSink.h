#pragma once

#include "adapter/StoredDocument.h"
#include "gateway/control/FleetState.h"

namespace carawaypond::gateway {

/// @brief Applies the configuration object in the store to the FleetState.
class ConfigSink {
public:
  explicit ConfigSink(FleetState &State) : m_State(State) {}

  [[nodiscard]] static const char *kind();

  void beginList() { m_State.beginConfigList(); }
  void listed(const adapter::StoredDocument &Document);
  void endList(StoreRevision) {}
  void changed(const adapter::DocumentChange &Change);
  void followed(StoreRevision) {}
  void confirm(TimePoint At) { m_State.confirmConfig(At); }
  /// @brief Records that the store was asked at @p AsOf, and answered.
  void prove(BootTime AsOf) { m_State.proveConfig(AsOf, StoreSource); }

private:
  FleetState &m_State;
};

} // namespace carawaypond::gateway
