#include "peer/session/PeerServer.h"

#include "peer/codec/Bytes.h"
#include "peer/codec/DigestCodec.h"
#include "peer/codec/ObjectCodec.h"
#include "peer/loop/PendingReply.h"
#include "peer/session/SessionTable.h"

#include <kj/debug.h>

#include <utility>

namespace carawaypond::peer {

namespace {

/// @return The value. Throws a KJ exception, which fails the RPC call, if
/// @p Outcome is an error.
template <typename T> const T &valueOf(const Result<T> &Outcome) {
  if (!Outcome)
    kj::throwFatalException(
        KJ_EXCEPTION(FAILED, Outcome.error().Message.c_str()));
  return Outcome.value();
}

} // namespace

class PeerServer::OpenCall {
public:
  explicit OpenCall(PeerServer &Server) : m_Server(Server) {
    ++m_Server.m_OpenCalls;
  }
  ~OpenCall() { --m_Server.m_OpenCalls; }
  OpenCall(const OpenCall &) = delete;
  OpenCall &operator=(const OpenCall &) = delete;

private:
  PeerServer &m_Server;
};

PeerServer::PeerServer(LoopContext &Context, SessionTable &Table,
                       PeerSession &Session)
    : m_Context(Context), m_Table(Table), m_Session(Session) {}

kj::Promise<void> PeerServer::hello(HelloContext Context) {
  KJ_REQUIRE(!m_Session.peer().has_value(), "a connection says hello once");
  wire::Identity::Reader From = Context.getParams().getSelf();
  PeerIdentity Peer{.Vm = VmName(toString(From.getVm())),
                    .IncarnationNumber = Incarnation(From.getIncarnation())};
  bool Admitted = m_Table.admit(Peer);
  if (Admitted) {
    ++m_Context.Counters.InboundAccepted;
    m_Session.setPeer(std::move(Peer));
  } else {
    ++m_Context.Counters.StaleIncarnations;
  }
  auto Answer = Context.getResults();
  Answer.setAccepted(Admitted);
  wire::Identity::Builder Self = Answer.initSelf();
  Self.setVm(toText(m_Context.Options.Self.Vm.value()));
  Self.setIncarnation(m_Context.Options.Self.IncarnationNumber.value());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::exchange(ExchangeContext Context) {
  const PeerIdentity &From = caller();
  KJ_REQUIRE(bool(m_Context.Handlers.OnExchange),
             "no digests are exchanged here");
  auto Pending = PendingReply<Digest>::make(m_Context.Queue);
  m_Context.Handlers.OnExchange(From,
                                readDigest(Context.getParams().getDigest()),
                                std::move(Pending.OnReply));
  return Pending.Outcome.then([Context](kj::Own<Result<Digest>> Own) mutable {
    writeDigest(valueOf(*Own), Context.getResults().initDigest());
  });
}

kj::Promise<void> PeerServer::fetchServices(FetchServicesContext Context) {
  return fetch(m_Context.Handlers.OnFetchServices, Context);
}

kj::Promise<void> PeerServer::fetchIndexes(FetchIndexesContext Context) {
  return fetch(m_Context.Handlers.OnFetchIndexes, Context);
}

kj::Promise<void> PeerServer::query(QueryContext Context) {
  requireHello();
  Result<void> Acceptable = checkExpected(Context.getParams().getExpected());
  if (Acceptable && !m_Context.Handlers.OnQuery)
    Acceptable = failure(ErrorCode::Unavailable, "no queries are taken here");
  if (Acceptable && m_OpenCalls >= m_Context.Options.MaxOutstandingCalls) {
    ++m_Context.Counters.CallsRefused;
    Acceptable = failure(ErrorCode::Unavailable, "too many calls are open");
  }
  if (Acceptable)
    return startQuery(Context);
  auto Answer = Context.getResults();
  Answer.setAccepted(false);
  Answer.setReason(toText(Acceptable.error().Message));
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::startQuery(QueryContext Context) {
  auto Params = Context.getParams();
  PeerQuery Query{.Ticket = toString(Params.getTicket()),
                  .Deadline = WallMillis{Params.getDeadlineMillis()},
                  .Body = toString(Params.getBody())};
  auto Pending = PendingReply<PeerQueryAnswer>::make(m_Context.Queue);
  m_Context.Handlers.OnQuery(caller(), std::move(Query),
                             std::move(Pending.OnReply));
  return Pending.Outcome
      .then([Context](kj::Own<Result<PeerQueryAnswer>> Outcome) mutable {
        const PeerQueryAnswer &Given = valueOf(*Outcome);
        auto Answer = Context.getResults();
        Answer.setAccepted(true);
        Answer.setStatus(Given.Status);
        Answer.setBody(toData(Given.Body));
      })
      .attach(kj::heap<OpenCall>(*this));
}

void PeerServer::requireHello() const {
  KJ_REQUIRE(m_Session.peer().has_value(), "a connection starts with hello");
}

const PeerIdentity &PeerServer::caller() const {
  requireHello();
  return *m_Session.peer();
}

Result<void> PeerServer::checkExpected(std::uint64_t Expected) {
  const Incarnation &Self = m_Context.Options.Self.IncarnationNumber;
  if (Self.value() == Expected)
    return success();
  ++m_Context.Counters.StaleIncarnations;
  return failure(ErrorCode::Unavailable,
                 "this is incarnation " + std::to_string(Self.value()) +
                     ", not " + std::to_string(Expected));
}

template <typename Handler, typename FetchContext>
kj::Promise<void> PeerServer::fetch(const Handler &OnFetch,
                                    FetchContext Context) {
  requireHello();
  KJ_REQUIRE(bool(OnFetch), "no objects are served here");
  KJ_REQUIRE(m_OpenCalls < m_Context.Options.MaxOutstandingCalls,
             "too many calls are open");
  auto Pending = PendingReply<std::vector<StoredObject>>::make(m_Context.Queue);
  OnFetch(readNames(Context.getParams().getNames()),
          std::move(Pending.OnReply));
  return Pending.Outcome
      .then([Context, MaxBytes = m_Context.Options.MaxMessageBytes](
                kj::Own<Result<std::vector<StoredObject>>> Outcome) mutable {
        const std::vector<StoredObject> &Objects = valueOf(*Outcome);
        std::size_t Count = countThatFit(Objects, MaxBytes);
        auto Answer = Context.getResults();
        writeObjects(Objects,
                     Answer.initObjects(static_cast<capnp::uint>(Count)));
      })
      .attach(kj::heap<OpenCall>(*this));
}

} // namespace carawaypond::peer
