#include "peer/traffic/TrafficSession.h"

#include "peer/codec/Bytes.h"
#include "peer/codec/ResultCodec.h"
#include "peer/codec/SubrequestCodec.h"

#include <boost/asio/post.hpp>
#include <kj/debug.h>

#include <utility>

namespace carawaypond::peer {

TrafficSession::TrafficSession(std::shared_ptr<TrafficContext> Context,
                               boost::asio::ip::tcp::socket Socket,
                               OnAdmitted Admitted)
    : m_Context(std::move(Context)),
      m_Channel(std::make_shared<FrameChannel>(
          std::move(Socket), m_Context->Options.MaxMessageBytes)),
      m_OnAdmitted(std::move(Admitted)),
      m_HelloDeadline(monotonicNow() + m_Context->Options.HelloTimeout) {}

void TrafficSession::start() {
  std::weak_ptr<TrafficSession> Weak = weak_from_this();
  m_Channel->start({.OnMessage =
                        [Weak](wire::TrafficMessage::Reader Message) {
                          if (auto Self = Weak.lock())
                            Self->onMessage(Message);
                        },
                    .OnClosed =
                        [Weak](const std::string &) {
                          if (auto Self = Weak.lock())
                            Self->close();
                        }});
}

void TrafficSession::sweep(TimePoint Now) {
  if (!m_Peer && m_HelloDeadline <= Now)
    close();
}

void TrafficSession::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  m_Channel->close();
  m_Results.clear();
  if (!m_Peer) {
    ++m_Context->Counters.InboundRejected;
    return;
  }
  m_Context->Incarnations.release(*m_Peer);
  std::vector<SubrequestId> OutstandingIds(m_OutstandingIds.begin(),
                                           m_OutstandingIds.end());
  m_OutstandingIds.clear();
  if (!OutstandingIds.empty() && m_Context->Handlers.OnCancel)
    m_Context->Handlers.OnCancel(*m_Peer, OutstandingIds);
}

void TrafficSession::onMessage(wire::TrafficMessage::Reader Message) {
  if (Message.isHello())
    return onHello(Message.getHello());
  KJ_REQUIRE(m_Peer.has_value(), "a connection starts with hello");
  if (Message.isRun())
    onRun(Message.getRun());
  else if (Message.isCancel())
    onCancel(Message.getCancel());
}

void TrafficSession::onHello(wire::Identity::Reader From) {
  KJ_REQUIRE(!m_Peer.has_value(), "a connection says hello once");
  PeerIdentity Peer{.Vm = VmName(toString(From.getVm())),
                    .IncarnationNumber = Incarnation(From.getIncarnation())};
  bool Admitted = m_Context->Incarnations.admit(Peer);
  if (Admitted) {
    m_Peer = Peer;
    ++m_Context->Counters.InboundAccepted;
    m_OnAdmitted(Peer);
  } else {
    ++m_Context->Counters.StaleIncarnations;
  }
  capnp::MallocMessageBuilder Message;
  auto Welcome = Message.initRoot<wire::TrafficMessage>().initWelcome();
  Welcome.setAccepted(Admitted);
  wire::Identity::Builder Self = Welcome.initSelf();
  Self.setVm(toText(m_Context->Options.Self.Vm.value()));
  Self.setIncarnation(m_Context->Options.Self.IncarnationNumber.value());
  m_Channel->send(Message);
}

void TrafficSession::onRun(wire::TrafficMessage::Run::Reader Run) {
  auto Batch = readBatch(Run.getBatch());
  Result<void> Acceptable = checkBatch(Run.getExpected(), Batch);
  if (!Acceptable)
    return refuse(Run.getNumber(), Acceptable.error().Message);
  m_Context->Handlers.OnRun(*m_Peer, std::move(Batch.value()), makeSink());
}

void TrafficSession::onCancel(capnp::List<std::uint64_t>::Reader Ids) {
  std::vector<SubrequestId> Cancelled;
  Cancelled.reserve(Ids.size());
  for (std::uint64_t Id : Ids)
    Cancelled.emplace_back(Id);
  if (m_Context->Handlers.OnCancel)
    m_Context->Handlers.OnCancel(*m_Peer, Cancelled);
}

Result<void>
TrafficSession::checkBatch(std::uint64_t Expected,
                           const Result<std::vector<PeerSubrequest>> &Batch) {
  const PeerOptions &Options = m_Context->Options;
  if (Options.Self.IncarnationNumber.value() != Expected) {
    ++m_Context->Counters.StaleIncarnations;
    return failure(ErrorCode::Unavailable,
                   "this is incarnation " +
                       std::to_string(Options.Self.IncarnationNumber.value()) +
                       ", not " + std::to_string(Expected));
  }
  if (!Batch)
    return Batch.error();
  if (!m_Context->Handlers.OnRun)
    return failure(ErrorCode::Unavailable, "no subrequests are taken here");
  if (m_OutstandingIds.size() + Batch.value().size() >
      Options.MaxOutstandingSubrequests) {
    ++m_Context->Counters.CallsRefused;
    return failure(ErrorCode::Unavailable, "too many subrequests are open");
  }
  if (!reserveIds(Batch.value()))
    return failure(ErrorCode::Conflict, "a subrequest id is already in use");
  return success();
}

bool TrafficSession::reserveIds(const std::vector<PeerSubrequest> &Batch) {
  for (std::size_t Count = 0; Count < Batch.size(); ++Count) {
    if (m_OutstandingIds.insert(Batch[Count].Id).second)
      continue;
    while (Count-- > 0)
      m_OutstandingIds.erase(Batch[Count].Id);
    return false;
  }
  return true;
}

void TrafficSession::refuse(std::uint64_t Number, const std::string &Reason) {
  capnp::MallocMessageBuilder Message;
  auto Refused = Message.initRoot<wire::TrafficMessage>().initRefused();
  Refused.setNumber(Number);
  Refused.setReason(toText(Reason));
  m_Channel->send(Message);
}

ResultSink TrafficSession::makeSink() {
  return [Weak = weak_from_this()](PeerResult Result) {
    // Holding the session keeps the io_context alive during the post.
    auto Self = Weak.lock();
    if (!Self)
      return;
    auto Add = [Weak, Result = std::move(Result)]() mutable {
      if (auto Session = Weak.lock())
        Session->addResult(std::move(Result));
    };
    boost::asio::post(Self->m_Context->Io, std::move(Add));
  };
}

void TrafficSession::addResult(PeerResult Result) {
  if (m_Closed || m_OutstandingIds.erase(Result.Id) == 0) {
    ++m_Context->Counters.ResultsUnexpected;
    return;
  }
  m_Results.push_back(std::move(Result));
  if (m_Results.size() > 1)
    return;
  // Runs after the results that are already posted, so that one flush sends
  // them all.
  boost::asio::post(m_Context->Io, [Weak = weak_from_this()] {
    if (auto Session = Weak.lock())
      Session->flush();
  });
}

void TrafficSession::flush() {
  std::size_t First = 0;
  std::size_t Bytes = 0;
  for (std::size_t Next = 0; Next < m_Results.size(); ++Next) {
    std::size_t Size = wireBytes(m_Results[Next]);
    if (Next > First && Bytes + Size > m_Context->Options.maxBatchBytes()) {
      send(First, Next);
      First = Next;
      Bytes = 0;
    }
    Bytes += Size;
  }
  send(First, m_Results.size());
  m_Results.clear();
  if (m_Channel->queuedBytes() <= m_Context->Options.MaxQueuedBytes)
    return;
  ++m_Context->Counters.InboundOverrun;
  close();
}

void TrafficSession::send(std::size_t First, std::size_t Last) {
  if (First == Last)
    return;
  capnp::MallocMessageBuilder Message;
  auto List = Message.initRoot<wire::TrafficMessage>().initResults(
      static_cast<capnp::uint>(Last - First));
  capnp::uint Slot = 0;
  for (std::size_t Next = First; Next < Last; ++Next)
    writeResult(m_Results[Next], List[Slot++]);
  m_Channel->send(Message);
}

} // namespace carawaypond::peer
