#include "peer/link/PeerLink.h"

#include "core/invariant/Invariant.h"
#include "peer/codec/ResultCodec.h"
#include "peer/codec/SubrequestCodec.h"
#include "peer/loop/NumericAddress.h"

#include <algorithm>
#include <utility>

namespace carawaypond::peer {

/// Hands the results that arrive on one connection to the link.
class PeerLink::Sink final : public wire::ResultSink::Server {
public:
  Sink(PeerLink &Link, std::uint64_t Generation)
      : m_Link(Link), m_Generation(Generation) {}

  kj::Promise<void> deliver(DeliverContext Context) override {
    for (wire::SubrequestResult::Reader Result :
         Context.getParams().getResults())
      m_Link.onResult(m_Generation, readResult(Result));
    return kj::READY_NOW;
  }

private:
  PeerLink &m_Link;
  std::uint64_t m_Generation;
};

PeerLink::PeerLink(LoopContext &Context, std::string Address)
    : m_Context(Context), m_Address(std::move(Address)),
      m_Backoff(Context.Options.BackoffFirst, Context.Options.BackoffMax),
      m_RetryAt(monotonicNow()), m_Tasks(*this) {}

PeerLink::~PeerLink() noexcept(false) = default;

bool PeerLink::idle(TimePoint Now) {
  bool HasConnection = m_Connecting || m_Connection.get() != nullptr;
  return !HasConnection && m_RetryAt <= Now && m_Tasks.isEmpty();
}

void PeerLink::exchange(Digest Own, Reply<Digest> OnReply, Duration Timeout) {
  whenUp([this, Own = std::move(Own), OnReply = std::move(OnReply),
          Timeout](const Result<void> &Up) {
    if (!Up)
      return OnReply(Up.error());
    std::uint64_t Generation = m_Generation;
    auto Settle = [this, Generation, OnReply](Result<Digest> Outcome) {
      bool Silent = !Outcome && Outcome.error().Code == ErrorCode::TimedOut;
      if (Silent)
        ++m_Context.Counters.ExchangesTimedOut;
      if (Silent && Generation == m_Generation)
        drop({.Code = ErrorCode::ConnectionLost,
              .Message = m_Address + " is silent"});
      OnReply(std::move(Outcome));
    };
    track<Digest>(m_Connection->exchange(Own), Settle, Timeout);
  });
}

void PeerLink::fetch(ObjectKind Kind, std::vector<std::string> Names,
                     Reply<std::vector<StoredObject>> OnReply,
                     Duration Timeout) {
  whenUp([this, Kind, Names = std::move(Names), OnReply = std::move(OnReply),
          Timeout](const Result<void> &Up) {
    Result<void> Sendable = Up ? checkCall() : Up;
    if (!Sendable)
      return OnReply(Sendable.error());
    auto Call = Kind == ObjectKind::Service ? m_Connection->fetchServices(Names)
                                            : m_Connection->fetchIndexes(Names);
    track(kj::mv(Call), OnReply, Timeout);
  });
}

void PeerLink::run(Incarnation Expected, std::vector<PeerSubrequest> Batch,
                   RunObserver Observer) {
  whenUp([this, Expected, Batch = std::move(Batch),
          Observer = std::move(Observer)](const Result<void> &Up) {
    Result<void> Sendable = Up ? checkBatch(Expected, Batch) : Up;
    if (Sendable)
      return sendRun(Expected, Batch, Observer);
    std::vector<SubrequestId> Ids;
    for (const PeerSubrequest &Subrequest : Batch)
      Ids.push_back(Subrequest.Id);
    Observer.OnLost(Sendable.error(), Ids);
  });
}

void PeerLink::cancel(const std::vector<SubrequestId> &Ids) {
  if (m_Peer)
    m_Tasks.add(m_Connection->cancel(Ids));
}

void PeerLink::query(Incarnation Expected, PeerQuery Query,
                     Reply<PeerQueryAnswer> OnReply, Duration Timeout) {
  whenUp([this, Expected, Query = std::move(Query),
          OnReply = std::move(OnReply), Timeout](const Result<void> &Up) {
    Result<void> Sendable = Up ? checkCall() : Up;
    if (Sendable)
      Sendable = checkExpected(Expected);
    if (!Sendable)
      return OnReply(Sendable.error());
    track(m_Connection->query(Expected, Query), OnReply, Timeout);
  });
}

void PeerLink::sweep(TimePoint Now) { m_Runs.expire(Now); }

kj::Promise<void> PeerLink::close() {
  m_Attempt = nullptr;
  drop({.Code = ErrorCode::ConnectionLost, .Message = "this node stops"});
  settleWaiting(
      failure(ErrorCode::NotConnected, "this node stops, nothing was sent"));
  return m_Tasks.onEmpty();
}

template <typename T>
void PeerLink::track(kj::Promise<Result<T>> Call, Reply<T> OnReply,
                     Duration Timeout) {
  ++m_OpenCalls;
  m_Tasks.add(
      limited(kj::mv(Call), Timeout)
          .then([this, OnReply = std::move(OnReply)](Result<T> Outcome) {
            --m_OpenCalls;
            OnReply(std::move(Outcome));
          }));
}

template <typename T>
kj::Promise<Result<T>> PeerLink::limited(kj::Promise<Result<T>> Call,
                                         Duration Timeout) {
  auto Expired = m_Context.Timer.afterDelay(toKj(Timeout))
                     .then([Address = m_Address]() -> Result<T> {
                       return failure(ErrorCode::TimedOut,
                                      Address + " did not answer in time");
                     });
  return Call.exclusiveJoin(kj::mv(Expired));
}

Result<void> PeerLink::checkCall() const {
  if (m_OpenCalls < m_Context.Options.MaxOutstandingCalls)
    return success();
  ++m_Context.Counters.CallsRefused;
  return failure(ErrorCode::NotConnected,
                 "too many calls to " + m_Address + " are open");
}

Result<void> PeerLink::checkExpected(Incarnation Expected) {
  if (m_Peer->Life == Expected)
    return success();
  ++m_Context.Counters.StaleIncarnations;
  return failure(ErrorCode::NotConnected,
                 m_Address + " is incarnation " +
                     std::to_string(m_Peer->Life.value()) + ", not " +
                     std::to_string(Expected.value()));
}

Result<void> PeerLink::checkBatch(Incarnation Expected,
                                  const std::vector<PeerSubrequest> &Batch) {
  if (Result<void> Match = checkExpected(Expected); !Match)
    return Match;
  const PeerOptions &Options = m_Context.Options;
  std::size_t Bytes = wireBytes(Batch);
  if (Bytes > Options.MaxMessageBytes)
    return failure(ErrorCode::TooLarge,
                   "a batch of " + std::to_string(Bytes) +
                       " bytes exceeds the limit of " +
                       std::to_string(Options.MaxMessageBytes));
  bool Full =
      m_Runs.outstanding() + Batch.size() > Options.MaxOutstandingSubrequests ||
      m_Connection->queuedBytes() > Options.MaxQueuedBytes;
  if (!Full)
    return success();
  ++m_Context.Counters.CallsRefused;
  return failure(ErrorCode::NotConnected,
                 "the queue to " + m_Address + " is full, nothing was sent");
}

TimePoint PeerLink::expiryOf(const std::vector<PeerSubrequest> &Batch) const {
  WallMillis Latest;
  for (const PeerSubrequest &Subrequest : Batch)
    Latest = std::max(Latest, Subrequest.Deadline);
  TimePoint Now = monotonicNow();
  TimePoint Deadline = toMonotonic(Latest, Now, wallNow());
  return std::max(Now, Deadline) + m_Context.Options.ResultGrace;
}

void PeerLink::sendRun(Incarnation Expected,
                       const std::vector<PeerSubrequest> &Batch,
                       RunObserver Observer) {
  m_Context.Counters.SubrequestsSent += Batch.size();
  RunTable::RunNumber Number =
      m_Runs.add(Batch, expiryOf(Batch), std::move(Observer));
  auto Sent = m_Connection->run(Expected, Batch);
  m_Tasks.add(Sent.then([this, Number](Result<void> Outcome) {
    if (!Outcome)
      m_Runs.fail(Number, Outcome.error());
  }));
}

void PeerLink::onResult(std::uint64_t Generation, PeerResult Result) {
  ++m_Context.Counters.ResultsReceived;
  if (Generation != m_Generation || !m_Runs.deliver(std::move(Result)))
    ++m_Context.Counters.ResultsUnexpected;
}

void PeerLink::whenUp(Ready Call) {
  if (m_Peer)
    return Call(success());
  if (Result<void> Valid = checkNumericAddress(m_Address); !Valid)
    return Call(Valid);
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
  m_Attempt = limited(connect(), m_Context.Options.ConnectTimeout)
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
      .then([this](kj::Own<kj::AsyncIoStream> Stream) {
        m_Connection = kj::heap<PeerConnection>(
            m_Context, kj::mv(Stream), kj::heap<Sink>(*this, m_Generation));
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
      drop({.Code = ErrorCode::ConnectionLost,
            .Message = m_Address + " closed the connection"});
  }));
}

void PeerLink::drop(const Error &Reason) {
  m_Connecting = false;
  discardConnection();
  if (!m_Peer)
    return;
  m_Peer.reset();
  ++m_Context.Counters.ConnectionsLost;
  m_RetryAt = monotonicNow() + m_Backoff.next(m_Context.Random);
  m_Runs.failAll(Reason);
}

void PeerLink::discardConnection() {
  ++m_Generation;
  if (m_Connection.get() == nullptr)
    return;
  // The connection may be the caller, so it is destroyed in a later turn.
  m_Tasks.add(kj::evalLater([Old = kj::mv(m_Connection)] {}));
}

void PeerLink::settleWaiting(const Result<void> &Outcome) {
  std::vector<Ready> Waiting = std::exchange(m_Waiting, {});
  for (const Ready &Call : Waiting)
    Call(Outcome);
}

void PeerLink::taskFailed(kj::Exception &&) {
  // Only a cancel fails here: it is a hint, and the connection's loss is
  // handled where it is watched.
}

} // namespace carawaypond::peer
