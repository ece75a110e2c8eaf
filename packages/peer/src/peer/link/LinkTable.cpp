#include "peer/link/LinkTable.h"

#include <kj/vector.h>

#include <utility>

namespace carawaypond::peer {

LinkTable::LinkTable(LoopContext &Context, PeerLink::OnSilent Silent)
    : m_Context(Context), m_Silent(std::move(Silent)) {}

PeerLink &LinkTable::to(const std::string &Address) {
  std::unique_ptr<PeerLink> &Link = m_Links[Address];
  if (!Link)
    Link = std::make_unique<PeerLink>(m_Context, Address, m_Silent);
  return *Link;
}

void LinkTable::sweep(TimePoint Now) {
  std::erase_if(m_Links,
                [Now](auto &Entry) { return Entry.second->idle(Now); });
}

kj::Promise<void> LinkTable::close() {
  kj::Vector<kj::Promise<void>> Closing;
  for (auto &[Address, Link] : m_Links)
    Closing.add(Link->close());
  return kj::joinPromises(Closing.releaseAsArray());
}

} // namespace carawaypond::peer
