#include "gateway/control/EvacuationSink.h"

#include "adapter/EvacuationKind.h"
#include "coordination/evacuation/CentreName.h"

#include <cstddef>
#include <string_view>

namespace carawaypond::gateway {

namespace {

/// Number of invalid names that are remembered as logged. Beyond it all are
/// forgotten, and may be logged again.
constexpr std::size_t MaxInvalidNames = 1'000;

EvacuatedCentre centreOf(const adapter::StoredDocument &Document) {
  return {.Centre = DataCentre(Document.Name), .Revision = Document.Revision};
}

} // namespace

const char *EvacuationSink::kind() { return adapter::EvacuationKind; }

void EvacuationSink::listed(const adapter::StoredDocument &Document) {
  if (checkName(Document))
    m_Listed.Centres.push_back(centreOf(Document));
}

void EvacuationSink::endList(StoreRevision Revision) {
  m_Listed.AsOf = Revision;
  m_State.mergeEvacuations(m_Listed, StoreSource);
  m_Listed.Centres.clear();
}

void EvacuationSink::changed(const adapter::DocumentChange &Change) {
  if (!checkName(Change.Document))
    return;
  if (Change.IsRemoved)
    m_State.removeEvacuation(centreOf(Change.Document));
  else
    m_State.putEvacuation(centreOf(Change.Document));
}

void EvacuationSink::followed(StoreRevision Revision) {
  m_State.advanceEvacuations(Revision);
}

bool EvacuationSink::checkName(const adapter::StoredDocument &Document) {
  if (isCentreName(Document.Name))
    return true;
  logInvalidName(Document);
  return false;
}

void EvacuationSink::logInvalidName(const adapter::StoredDocument &Document) {
  if (m_InvalidNames.size() >= MaxInvalidNames)
    m_InvalidNames.clear();
  // Names that differ only beyond this length are logged as one.
  std::string Start = Document.Name.substr(0, MaxCentreNameBytes);
  if (!m_InvalidNames.insert(Start).second)
    return;
  m_State.onUnreadable(1);
  LogLine Line("evacuation_unreadable");
  Line.add("centre", Start);
  Line.add("revision", Document.Revision.number());
  m_Log.write(Line);
}

} // namespace carawaypond::gateway
