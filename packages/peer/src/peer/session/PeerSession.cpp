#include "peer/session/PeerSession.h"

#include "peer/session/PeerServer.h"
#include "peer/session/SessionTable.h"

#include <utility>

namespace carawaypond::peer {

PeerSession::PeerSession(LoopContext &Context, SessionTable &Table,
                         kj::Own<kj::AsyncIoStream> Stream)
    : m_Context(Context),
      m_HelloDeadline(monotonicNow() + Context.Options.HelloTimeout),
      m_Stream(kj::mv(Stream)),
      m_Network(*m_Stream, capnp::rpc::twoparty::Side::SERVER,
                readerOptions(Context.Options)),
      m_Rpc(capnp::makeRpcServer(
          m_Network,
          wire::Peer::Client(kj::heap<PeerServer>(Context, Table, *this)))),
      m_Tasks(*this) {
  auto Gone = m_Network.onDisconnect().catch_([](kj::Exception &&) {});
  m_Tasks.add(Gone.then([this] { close(); }));
}

PeerSession::~PeerSession() noexcept(false) = default;

bool PeerSession::isHelloOverdue(TimePoint Now) const {
  return !m_Peer && m_HelloDeadline <= Now;
}

void PeerSession::setPeer(PeerIdentity Peer) { m_Peer = std::move(Peer); }

void PeerSession::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  if (m_Peer)
    m_Context.Incarnations.release(*m_Peer);
  else
    ++m_Context.Counters.InboundRejected;
  m_Stream->abortRead();
  m_Stream->shutdownWrite();
}

void PeerSession::taskFailed(kj::Exception &&) {
  // The only task waits for the disconnect and catches its own exceptions.
}

} // namespace carawaypond::peer
