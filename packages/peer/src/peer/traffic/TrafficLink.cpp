#include "peer/traffic/TrafficLink.h"

#include "peer/codec/Bytes.h"
#include "peer/codec/ResultCodec.h"
#include "peer/codec/SubrequestCodec.h"
#include "peer/loop/Preamble.h"
#include "peer/traffic/Endpoint.h"

#include <algorithm>
#include <utility>

namespace carawaypond::peer {

namespace {

void refuse(const RunObserver &Observer,
            const std::vector<PeerSubrequest> &Batch, const Error &Reason) {
  std::vector<SubrequestId> Ids;
  Ids.reserve(Batch.size());
  for (const PeerSubrequest &Subrequest : Batch)
    Ids.push_back(Subrequest.Id);
  Observer.OnLost(Reason, Ids);
}

} // namespace

TrafficLink::TrafficLink(TrafficContext &Context, std::string Address)
    : m_Context(Context), m_Address(std::move(Address)),
      m_Backoff(Context.Options.BackoffFirst, Context.Options.BackoffMax),
      m_RetryAt(monotonicNow()) {}

bool TrafficLink::isIdle(TimePoint Now) const {
  return !m_ConnectDeadline && !m_Peer && m_RetryAt <= Now;
}

void TrafficLink::run(Incarnation Expected, std::vector<PeerSubrequest> Batch,
                      RunObserver Observer) {
  WaitingRun Run{.Expected = Expected,
                 .Batch = std::move(Batch),
                 .Observer = std::move(Observer)};
  if (m_Peer)
    return sendOrRefuse(std::move(Run));
  if (Result<void> Connectable = checkConnectable(monotonicNow()); !Connectable)
    return refuse(Run.Observer, Run.Batch, Connectable.error());
  m_Waiting.push_back(std::move(Run));
  if (!m_ConnectDeadline)
    connect();
}

void TrafficLink::cancel(const std::vector<SubrequestId> &Ids) {
  if (!m_Peer)
    return;
  capnp::MallocMessageBuilder Message;
  auto List = Message.initRoot<wire::TrafficMessage>().initCancel(
      static_cast<capnp::uint>(Ids.size()));
  capnp::uint Next = 0;
  for (const SubrequestId &Id : Ids)
    List.set(Next++, Id.value());
  m_Channel->send(Message);
}

void TrafficLink::sweep(TimePoint Now) {
  m_Runs.expire(Now);
  if (m_ConnectDeadline && *m_ConnectDeadline <= Now)
    failConnecting("no answer in time");
}

void TrafficLink::drop(const std::string &Reason) {
  if (m_ConnectDeadline)
    return failConnecting(Reason);
  if (!m_Peer)
    return;
  m_Peer.reset();
  m_Channel->close();
  m_Channel.reset();
  ++m_Context.Counters.ConnectionsLost;
  m_RetryAt = monotonicNow() + m_Backoff.next(m_Context.Random);
  m_Runs.failAll({.Code = ErrorCode::ConnectionLost,
                  .Message = m_Address + ": " + Reason});
}

Result<void> TrafficLink::checkConnectable(TimePoint Now) {
  if (Result<boost::asio::ip::tcp::endpoint> Valid = parseEndpoint(m_Address);
      !Valid)
    return Valid.error();
  if (Now < m_RetryAt)
    return failure(ErrorCode::NotConnected,
                   m_Address + " failed and is not yet tried again");
  if (m_Waiting.size() < m_Context.Options.MaxQueuedCalls)
    return success();
  ++m_Context.Counters.CallsRefused;
  return failure(ErrorCode::NotConnected,
                 "too many calls wait for " + m_Address);
}

Result<void> TrafficLink::checkBatch(const WaitingRun &Run) {
  const PeerOptions &Options = m_Context.Options;
  if (m_Peer->IncarnationNumber != Run.Expected) {
    ++m_Context.Counters.StaleIncarnations;
    return failure(ErrorCode::NotConnected,
                   m_Address + " is incarnation " +
                       std::to_string(m_Peer->IncarnationNumber.value()) +
                       ", not " + std::to_string(Run.Expected.value()));
  }
  std::size_t Bytes = wireBytes(Run.Batch);
  if (Bytes > Options.maxBatchBytes())
    return failure(ErrorCode::TooLarge,
                   "a batch of " + std::to_string(Bytes) +
                       " bytes exceeds the limit of " +
                       std::to_string(Options.maxBatchBytes()));
  if (m_Runs.outstanding() + Run.Batch.size() <=
          Options.MaxOutstandingSubrequests &&
      m_Channel->queuedBytes() <= Options.MaxQueuedBytes)
    return success();
  ++m_Context.Counters.CallsRefused;
  return failure(ErrorCode::NotConnected,
                 "the queue to " + m_Address + " is full, nothing was sent");
}

TimePoint
TrafficLink::expiryOf(const std::vector<PeerSubrequest> &Batch) const {
  WallMillis Latest;
  for (const PeerSubrequest &Subrequest : Batch)
    Latest = std::max(Latest, Subrequest.Deadline);
  TimePoint Now = monotonicNow();
  TimePoint Deadline = toMonotonic(Latest, Now, wallNow());
  return std::max(Now, Deadline) + m_Context.Options.ResultGrace;
}

void TrafficLink::connect() {
  m_ConnectDeadline = monotonicNow() + m_Context.Options.ConnectTimeout;
  auto Socket = std::make_shared<boost::asio::ip::tcp::socket>(m_Context.Io);
  m_Connecting = Socket;
  Socket->async_connect(
      parseEndpoint(m_Address).value(),
      [Weak = weak_from_this(), Socket](boost::system::error_code Code) {
        auto Self = Weak.lock();
        if (!Self || Self->m_Connecting != Socket)
          return;
        if (Code)
          return Self->failConnecting(Code.message());
        Self->onConnected();
      });
}

void TrafficLink::onConnected() {
  m_Channel = std::make_shared<FrameChannel>(std::move(*m_Connecting),
                                             m_Context.Options.MaxMessageBytes);
  m_Connecting.reset();
  std::weak_ptr<TrafficLink> Weak = weak_from_this();
  m_Channel->start({.OnMessage =
                        [Weak](wire::TrafficMessage::Reader Message) {
                          if (auto Self = Weak.lock())
                            Self->onMessage(Message);
                        },
                    .OnClosed =
                        [Weak](const std::string &Reason) {
                          if (auto Self = Weak.lock())
                            Self->drop(Reason);
                        }});
  sendHello();
}

void TrafficLink::sendHello() {
  m_Channel->sendRaw(TrafficPreamble.data(), TrafficPreamble.size());
  capnp::MallocMessageBuilder Message;
  wire::Identity::Builder Self =
      Message.initRoot<wire::TrafficMessage>().initHello();
  Self.setVm(toText(m_Context.Options.Self.Vm.value()));
  Self.setIncarnation(m_Context.Options.Self.IncarnationNumber.value());
  m_Channel->send(Message);
}

void TrafficLink::onMessage(wire::TrafficMessage::Reader Message) {
  if (Message.isWelcome())
    onWelcome(Message.getWelcome());
  else if (Message.isResults())
    onResults(Message.getResults());
  else if (Message.isRefused())
    onRefused(Message.getRefused());
}

void TrafficLink::onWelcome(wire::TrafficMessage::Welcome::Reader Welcome) {
  if (!m_ConnectDeadline)
    return;
  if (!Welcome.getAccepted())
    return failConnecting("the peer knows a later incarnation of this VM");
  wire::Identity::Reader Self = Welcome.getSelf();
  m_Peer =
      PeerIdentity{.Vm = VmName(toString(Self.getVm())),
                   .IncarnationNumber = Incarnation(Self.getIncarnation())};
  m_ConnectDeadline.reset();
  m_Backoff.reset();
  ++m_Context.Counters.ConnectionsOpened;
  for (WaitingRun &Run : std::exchange(m_Waiting, {}))
    sendOrRefuse(std::move(Run));
}

void TrafficLink::onResults(
    capnp::List<wire::SubrequestResult>::Reader Results) {
  for (wire::SubrequestResult::Reader Result : Results) {
    ++m_Context.Counters.ResultsReceived;
    if (!m_Runs.deliver(readResult(Result)))
      ++m_Context.Counters.ResultsUnexpected;
  }
}

void TrafficLink::onRefused(wire::TrafficMessage::Refused::Reader Refused) {
  m_Runs.fail(Refused.getNumber(), {.Code = ErrorCode::Unavailable,
                                    .Message = toString(Refused.getReason())});
}

void TrafficLink::sendOrRefuse(WaitingRun Run) {
  if (Result<void> Sendable = checkBatch(Run); !Sendable)
    return refuse(Run.Observer, Run.Batch, Sendable.error());
  send(std::move(Run));
}

void TrafficLink::send(WaitingRun Run) {
  m_Context.Counters.SubrequestsSent += Run.Batch.size();
  RunTable::RunNumber Number =
      m_Runs.add(Run.Batch, expiryOf(Run.Batch), std::move(Run.Observer));
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<wire::TrafficMessage>().initRun();
  Out.setNumber(Number);
  Out.setExpected(Run.Expected.value());
  writeBatch(Run.Batch, Out.initBatch());
  m_Channel->send(Message);
}

void TrafficLink::failConnecting(const std::string &Reason) {
  m_ConnectDeadline.reset();
  m_Connecting.reset();
  if (m_Channel)
    m_Channel->close();
  m_Channel.reset();
  ++m_Context.Counters.ConnectsFailed;
  m_RetryAt = monotonicNow() + m_Backoff.next(m_Context.Random);
  Error Cause{.Code = ErrorCode::NotConnected,
              .Message = m_Address + ": " + Reason};
  for (const WaitingRun &Run : std::exchange(m_Waiting, {}))
    refuse(Run.Observer, Run.Batch, Cause);
}

} // namespace carawaypond::peer
