#include "peer/loop/IncarnationRegistry.h"

namespace carawaypond::peer {

bool IncarnationRegistry::admit(const PeerIdentity &Peer) {
  std::lock_guard Lock(m_Mutex);
  Entry &Known = m_Entries[Peer.Vm];
  if (Peer.IncarnationNumber < Known.Latest)
    return false;
  if (Peer.IncarnationNumber > Known.Latest)
    Known = {.Latest = Peer.IncarnationNumber, .Connections = 0};
  ++Known.Connections;
  return true;
}

void IncarnationRegistry::release(const PeerIdentity &Peer) {
  std::lock_guard Lock(m_Mutex);
  auto Known = m_Entries.find(Peer.Vm);
  if (Known == m_Entries.end() ||
      Known->second.Latest != Peer.IncarnationNumber)
    return;
  if (--Known->second.Connections == 0)
    m_Entries.erase(Known);
}

} // namespace carawaypond::peer
