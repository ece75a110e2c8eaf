#include "peer/session/SessionTable.h"

#include <utility>

namespace carawaypond::peer {

SessionTable::SessionTable(LoopContext &Context) : m_Context(Context) {}

void SessionTable::add(kj::Own<kj::AsyncIoStream> Stream) {
  if (m_Sessions.size() >= m_Context.Options.MaxInboundConnections) {
    ++m_Context.Counters.CallsRefused;
    return;
  }
  m_Sessions.push_back(
      std::make_unique<PeerSession>(m_Context, *this, kj::mv(Stream)));
}

bool SessionTable::admit(const PeerIdentity &Peer) {
  if (!m_Context.Incarnations.admit(Peer))
    return false;
  for (const auto &Session : m_Sessions) {
    const auto &Known = Session->peer();
    if (Known && Known->Vm == Peer.Vm &&
        Known->IncarnationNumber < Peer.IncarnationNumber)
      Session->close();
  }
  return true;
}

void SessionTable::sweep(TimePoint Now) {
  for (const auto &Session : m_Sessions)
    if (Session->isHelloOverdue(Now))
      Session->close();
  std::erase_if(m_Sessions,
                [](const auto &Session) { return Session->isClosed(); });
}

void SessionTable::closeAll() {
  for (const auto &Session : m_Sessions)
    Session->close();
  m_Sessions.clear();
}

} // namespace carawaypond::peer
