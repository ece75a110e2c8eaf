#include "peer/link/PeerLink.h"

#include "peer/loop/Preamble.h"
#include "peer/loop/SocketOptions.h"
#include "peer/traffic/Endpoint.h"

#include <utility>

namespace carawaypond::peer {

PeerLink::PeerLink(LoopContext &Context, std::string Address,
                   UnresponsiveHandler OnUnresponsive)
    : m_Context(Context), m_Address(std::move(Address)),
      m_OnUnresponsive(std::move(OnUnresponsive)),
      m_Backoff(Context.Options.BackoffFirst, Context.Options.BackoffMax),
      m_RetryAt(monotonicNow()), m_Tasks(*this) {}

PeerLink::~PeerLink() noexcept(false) = default;

bool PeerLink::isIdle(TimePoint Now) {
  bool HasConnection = m_Connecting || m_Connection.get() != nullptr;
  return !HasConnection && m_RetryAt <= Now && m_Tasks.isEmpty();
}

void PeerLink::exchange(Digest Own, Reply<Digest> OnReply, Duration Timeout) {
  withConnection([this, Own = std::move(Own), OnReply = std::move(OnReply),
                  Timeout](const Result<void> &Up) {
    if (!Up)
      return OnReply(Up.error());
    std::uint64_t Generation = m_Generation;
    auto Settle = [this, Generation, OnReply](Result<Digest> Outcome) {
      bool HasTimedOut =
          !Outcome && Outcome.error().Code == ErrorCode::TimedOut;
      if (HasTimedOut)
        ++m_Context.Counters.ExchangesTimedOut;
      if (HasTimedOut && Generation == m_Generation)
        drop();
      if (HasTimedOut)
        m_OnUnresponsive(m_Address);
      OnReply(std::move(Outcome));
    };
    track<Digest>(m_Connection->exchange(Own), Settle, Timeout);
  });
}

void PeerLink::fetch(ObjectKind Kind, std::vector<std::string> Names,
                     Reply<std::vector<StoredObject>> OnReply,
                     Duration Timeout) {
  withConnection([this, Kind, Names = std::move(Names),
                  OnReply = std::move(OnReply),
                  Timeout](const Result<void> &Up) {
    Result<void> Sendable = Up ? checkCallLimit() : Up;
    if (!Sendable)
      return OnReply(Sendable.error());
    auto Call = Kind == ObjectKind::Service ? m_Connection->fetchServices(Names)
                                            : m_Connection->fetchIndexes(Names);
    track(kj::mv(Call), OnReply, Timeout);
  });
}

void PeerLink::query(Incarnation Expected, PeerQuery Query,
                     Reply<PeerQueryAnswer> OnReply, Duration Timeout) {
  withConnection([this, Expected, Query = std::move(Query),
                  OnReply = std::move(OnReply),
                  Timeout](const Result<void> &Up) {
    Result<void> Sendable = Up ? checkCallLimit() : Up;
    if (Sendable)
      Sendable = checkExpected(Expected);
    if (!Sendable)
      return OnReply(Sendable.error());
    track(m_Connection->query(Expected, Query), OnReply, Timeout);
  });
}

kj::Promise<void> PeerLink::close() {
  m_ConnectAttempt = nullptr;
  drop();
  settleWaiting(
      failure(ErrorCode::NotConnected, "this node stops, nothing was sent"));
  return m_Tasks.onEmpty();
}

template <typename T>
void PeerLink::track(kj::Promise<Result<T>> Call, Reply<T> OnReply,
                     Duration Timeout) {
  ++m_OpenCalls;
  m_Tasks.add(
      withTimeout(kj::mv(Call), Timeout)
          .then([this, OnReply = std::move(OnReply)](Result<T> Outcome) {
            --m_OpenCalls;
            OnReply(std::move(Outcome));
          }));
}

template <typename T>
kj::Promise<Result<T>> PeerLink::withTimeout(kj::Promise<Result<T>> Call,
                                             Duration Timeout) {
  auto Expired = m_Context.Timer.afterDelay(toKj(Timeout))
                     .then([Address = m_Address]() -> Result<T> {
                       return failure(ErrorCode::TimedOut,
                                      Address + " did not answer in time");
                     });
  return Call.exclusiveJoin(kj::mv(Expired));
}

Result<void> PeerLink::checkCallLimit() const {
  if (m_OpenCalls < m_Context.Options.MaxOutstandingCalls)
    return success();
  ++m_Context.Counters.CallsRefused;
  return failure(ErrorCode::NotConnected,
                 "too many calls to " + m_Address + " are open");
}

Result<void> PeerLink::checkExpected(Incarnation Expected) {
  if (m_Peer->IncarnationNumber == Expected)
    return success();
  ++m_Context.Counters.StaleIncarnations;
  return failure(ErrorCode::NotConnected,
                 m_Address + " is incarnation " +
                     std::to_string(m_Peer->IncarnationNumber.value()) +
                     ", not " + std::to_string(Expected.value()));
}

void PeerLink::withConnection(ReadyCallback Call) {
  if (m_Peer)
    return Call(success());
  if (auto Valid = parseEndpoint(m_Address); !Valid)
    return Call(Valid.error());
  if (monotonicNow() < m_RetryAt)
    return Call(failure(ErrorCode::NotConnected,
                        m_Address + " failed and is not yet tried again"));
  if (m_Waiting.size() >= m_Context.Options.MaxQueuedCalls) {
    ++m_Context.Counters.CallsRefused;
    return Call(failure(ErrorCode::NotConnected,
                        "too many calls wait for " + m_Address));
  }
  m_Waiting.push_back(std::move(Call));
  if (!m_Connecting)
    startConnecting();
}

void PeerLink::startConnecting() {
  m_Connecting = true;
  ++m_Generation;
  m_ConnectAttempt = withTimeout(connect(), m_Context.Options.ConnectTimeout)
                         .then([this](Result<PeerIdentity> Peer) {
                           onConnected(std::move(Peer));
                         })
                         .eagerlyEvaluate(nullptr);
}

kj::Promise<Result<PeerIdentity>> PeerLink::connect() {
  using Outcome = Result<PeerIdentity>;
  return m_Context.Network.parseAddress(m_Address.c_str())
      .then([](kj::Own<kj::NetworkAddress> Remote) {
        auto Stream = Remote->connect();
        return Stream.attach(kj::mv(Remote));
      })
      .then([](kj::Own<kj::AsyncIoStream> Stream) {
        setNoDelay(*Stream);
        auto Written = Stream->write(RpcPreamble.data(), RpcPreamble.size());
        return Written.then(
            [Stream = kj::mv(Stream)]() mutable { return kj::mv(Stream); });
      })
      .then([this](kj::Own<kj::AsyncIoStream> Stream) {
        m_Connection = kj::heap<PeerConnection>(m_Context, kj::mv(Stream));
        return m_Connection->hello();
      })
      .catch_([](kj::Exception &&Cause) -> Outcome {
        return failure(ErrorCode::NotConnected, Cause.getDescription().cStr());
      });
}

void PeerLink::onConnected(Result<PeerIdentity> Peer) {
  m_Connecting = false;
  if (Peer) {
    ++m_Context.Counters.ConnectionsOpened;
    m_Backoff.reset();
    m_Peer = Peer.value();
    watchDisconnect();
    return settleWaiting(success());
  }
  ++m_Context.Counters.ConnectsFailed;
  discardConnection();
  m_RetryAt = monotonicNow() + m_Backoff.next(m_Context.Random);
  settleWaiting(failure(ErrorCode::NotConnected,
                        m_Address + ": " + Peer.error().Message));
}

void PeerLink::watchDisconnect() {
  auto Gone = m_Connection->onDisconnect().catch_([](kj::Exception &&) {});
  m_Tasks.add(Gone.then([this, Generation = m_Generation] {
    if (Generation == m_Generation)
      drop();
  }));
}

void PeerLink::drop() {
  m_Connecting = false;
  discardConnection();
  if (!m_Peer)
    return;
  m_Peer.reset();
  ++m_Context.Counters.ConnectionsLost;
  m_RetryAt = monotonicNow() + m_Backoff.next(m_Context.Random);
}

void PeerLink::discardConnection() {
  ++m_Generation;
  if (m_Connection.get() == nullptr)
    return;
  // This may run within a callback of the connection, so the connection is
  // destroyed in a later turn of the event loop.
  m_Tasks.add(kj::evalLater([Old = kj::mv(m_Connection)] {}));
}

void PeerLink::settleWaiting(const Result<void> &Outcome) {
  std::vector<ReadyCallback> Waiting = std::exchange(m_Waiting, {});
  for (const ReadyCallback &Call : Waiting)
    Call(Outcome);
}

void PeerLink::taskFailed(kj::Exception &&) {
  // Calls report failures as results; the other tasks do not throw.
}

} // namespace carawaypond::peer
