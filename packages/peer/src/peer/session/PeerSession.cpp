#include "peer/session/PeerSession.h"

#include "peer/codec/ResultCodec.h"
#include "peer/loop/SocketOptions.h"
#include "peer/session/PeerServer.h"
#include "peer/session/SessionTable.h"

#include <algorithm>
#include <utility>

namespace carawaypond::peer {

PeerSession::PeerSession(LoopContext &Context, SessionTable &Table,
                         std::uint64_t Number,
                         kj::Own<kj::AsyncIoStream> Stream)
    : m_Context(Context), m_Table(Table), m_Number(Number),
      m_HelloBy(monotonicNow() + Context.Options.HelloTimeout),
      m_Stream(kj::mv(Stream)),
      m_Network(*m_Stream, capnp::rpc::twoparty::Side::SERVER,
                readerOptions(Context.Options)),
      m_Rpc(capnp::makeRpcServer(
          m_Network,
          wire::Peer::Client(kj::heap<PeerServer>(Context, Table, *this)))),
      m_Tasks(*this) {
  setNoDelay(*m_Stream);
  auto Gone = m_Network.onDisconnect().catch_([](kj::Exception &&) {});
  m_Tasks.add(Gone.then([this] { close(); }));
}

PeerSession::~PeerSession() noexcept(false) = default;

bool PeerSession::overdue(TimePoint Now) const {
  return !m_Peer && m_HelloBy <= Now;
}

bool PeerSession::hasRoomFor(std::size_t Subrequests) const {
  return m_Owed.size() + Subrequests <=
         m_Context.Options.MaxOutstandingSubrequests;
}

void PeerSession::introduce(PeerIdentity Peer, wire::ResultSink::Client Sink) {
  m_Peer = std::move(Peer);
  m_Sink = kj::mv(Sink);
}

bool PeerSession::accept(const std::vector<PeerSubrequest> &Batch) {
  for (std::size_t Count = 0; Count < Batch.size(); ++Count) {
    if (m_Owed.insert(Batch[Count].Id).second)
      continue;
    while (Count-- > 0)
      m_Owed.erase(Batch[Count].Id);
    return false;
  }
  return true;
}

void PeerSession::addResult(PeerResult Result) {
  if (m_Closed || m_Owed.erase(Result.Id) == 0) {
    ++m_Context.Counters.ResultsUnexpected;
    return;
  }
  if (m_Results.empty())
    m_Table.flushLater(m_Number);
  m_Results.push_back(std::move(Result));
}

void PeerSession::flush() {
  std::size_t First = 0;
  std::size_t Bytes = 0;
  for (std::size_t Next = 0; Next < m_Results.size(); ++Next) {
    std::size_t Size = wireBytes(m_Results[Next]);
    if (Next > First && Bytes + Size > m_Context.Options.MaxMessageBytes) {
      send(First, Next);
      First = Next;
      Bytes = 0;
    }
    Bytes += Size;
  }
  send(First, m_Results.size());
  m_Results.clear();
  if (m_Network.getCurrentQueueSize() <= m_Context.Options.MaxQueuedBytes)
    return;
  ++m_Context.Counters.InboundOverrun;
  close();
}

void PeerSession::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  m_Results.clear();
  if (!m_Peer)
    ++m_Context.Counters.InboundRejected;
  std::vector<SubrequestId> Owed(m_Owed.begin(), m_Owed.end());
  m_Owed.clear();
  if (!Owed.empty() && m_Context.Handlers.OnCancel)
    m_Context.Handlers.OnCancel(*m_Peer, Owed);
  m_Stream->abortRead();
  m_Stream->shutdownWrite();
}

void PeerSession::send(std::size_t First, std::size_t Last) {
  if (m_Closed || First == Last)
    return;
  auto Call = m_Sink->deliverRequest();
  auto List = Call.initResults(static_cast<capnp::uint>(Last - First));
  capnp::uint Slot = 0;
  for (std::size_t Next = First; Next < Last; ++Next)
    writeResult(m_Results[Next], List[Slot++]);
  m_Tasks.add(Call.send().ignoreResult());
}

void PeerSession::taskFailed(kj::Exception &&) {
  // A delivery fails with its connection, whose loss is handled where it is
  // watched.
}

} // namespace carawaypond::peer
