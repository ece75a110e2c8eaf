#include "coordination/drain/VmDrain.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

namespace carawaypond {

void VmDrain::onReady() {
  if (m_Phase == VmPhase::Starting)
    m_Phase = VmPhase::Serving;
}

std::vector<VmDrainAction> VmDrain::begin(TimePoint Now) {
  if (m_BegunAt)
    return {};
  m_BegunAt = Now;
  m_Phase = VmPhase::Leaving;
  return {VmDrainAction::Announce};
}

std::vector<VmDrainAction> VmDrain::tick(std::size_t InFlight, TimePoint Now) {
  if (!m_BegunAt || m_Phase == VmPhase::Done)
    return {};
  std::vector<VmDrainAction> Actions;
  Duration Grace = m_Options.SpreadTime + m_Options.AddressLifetime;
  if (internal::isMutant(internal::Mutant::StopAtOnce))
    Grace = Duration(0);
  if (m_Phase == VmPhase::Leaving && Now - *m_BegunAt >= Grace) {
    m_Phase = VmPhase::Closing;
    Actions.push_back(VmDrainAction::StopListening);
  }
  if (m_Phase != VmPhase::Closing)
    return Actions;
  Actions.push_back(VmDrainAction::CloseIdle);
  if (InFlight > 0)
    return Actions;
  CARAWAYPOND_INVARIANT(
      Now - *m_BegunAt >= Grace,
      "stop ended while callers may still hold this VM's address");
  m_Phase = VmPhase::Done;
  Actions.push_back(VmDrainAction::Exit);
  return Actions;
}

} // namespace carawaypond
