#include "peer/link/LinkTable.h"

#include <kj/vector.h>

#include <utility>

namespace carawaypond::peer {

LinkTable::LinkTable(LoopContext &Context,
                     PeerLink::UnresponsiveHandler OnUnresponsive)
    : m_Context(Context), m_OnUnresponsive(std::move(OnUnresponsive)) {}

PeerLink &LinkTable::linkTo(const std::string &Address) {
  std::unique_ptr<PeerLink> &Link = m_Links[Address];
  if (!Link)
    Link = std::make_unique<PeerLink>(m_Context, Address, m_OnUnresponsive);
  return *Link;
}

void LinkTable::sweep(TimePoint Now) {
  std::erase_if(m_Links,
                [Now](auto &Entry) { return Entry.second->isIdle(Now); });
}

kj::Promise<void> LinkTable::close() {
  kj::Vector<kj::Promise<void>> Closing;
  for (auto &[Address, Link] : m_Links)
    Closing.add(Link->close());
  return kj::joinPromises(Closing.releaseAsArray());
}

} // namespace carawaypond::peer
