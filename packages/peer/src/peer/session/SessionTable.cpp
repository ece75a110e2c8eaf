#include "peer/session/SessionTable.h"

#include <utility>

namespace carawaypond::peer {

SessionTable::SessionTable(LoopContext &Context) : m_Context(Context) {}

void SessionTable::add(kj::Own<kj::AsyncIoStream> Stream) {
  if (m_Sessions.size() >= m_Context.Options.MaxInboundConnections) {
    ++m_Context.Counters.CallsRefused;
    return;
  }
  std::uint64_t Number = m_Next++;
  m_Sessions.emplace(Number, std::make_unique<PeerSession>(
                                 m_Context, *this, Number, kj::mv(Stream)));
}

bool SessionTable::admit(const PeerIdentity &Peer) {
  for (auto &[Number, Session] : m_Sessions) {
    const auto &Known = Session->peer();
    if (Session->closed() || !Known || Known->Vm != Peer.Vm)
      continue;
    if (Known->Life > Peer.Life)
      return false;
    if (Known->Life < Peer.Life)
      Session->close();
  }
  return true;
}

void SessionTable::deliver(std::uint64_t Session, PeerResult Result) {
  auto Entry = m_Sessions.find(Session);
  if (Entry == m_Sessions.end())
    ++m_Context.Counters.ResultsUnexpected;
  else
    Entry->second->addResult(std::move(Result));
}

void SessionTable::flushLater(std::uint64_t Session) {
  m_ToFlush.push_back(Session);
}

void SessionTable::flush() {
  for (std::uint64_t Number : std::exchange(m_ToFlush, {}))
    if (auto Entry = m_Sessions.find(Number); Entry != m_Sessions.end())
      Entry->second->flush();
}

void SessionTable::sweep(TimePoint Now) {
  for (auto &[Number, Session] : m_Sessions)
    if (Session->overdue(Now))
      Session->close();
  std::erase_if(m_Sessions,
                [](const auto &Entry) { return Entry.second->closed(); });
}

void SessionTable::closeAll() {
  for (auto &[Number, Session] : m_Sessions)
    Session->close();
  m_Sessions.clear();
}

} // namespace carawaypond::peer
