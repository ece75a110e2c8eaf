#include "peer/link/PeerConnection.h"

#include "peer/codec/Bytes.h"
#include "peer/codec/DigestCodec.h"
#include "peer/codec/ObjectCodec.h"

#include <capnp/message.h>

#include <utility>

namespace carawaypond::peer {

namespace {

/// Converts an exception of a call to ConnectionLost, since the peer may have
/// received the call.
template <typename T>
kj::Promise<Result<T>> settled(kj::Promise<Result<T>> Call) {
  return Call.catch_([](kj::Exception &&Cause) -> Result<T> {
    return failure(ErrorCode::ConnectionLost, Cause.getDescription().cStr());
  });
}

Error refused(capnp::Text::Reader Reason) {
  return {.Code = ErrorCode::Unavailable, .Message = toString(Reason)};
}

template <typename Response>
Result<std::vector<StoredObject>> readObjectsOf(Response &Answer) {
  return readObjects(Answer.getObjects());
}

template <typename Request>
kj::Promise<Result<std::vector<StoredObject>>>
fetch(Request Call, const std::vector<std::string> &Names) {
  writeNames(Names, Call.initNames(static_cast<capnp::uint>(Names.size())));
  return settled<std::vector<StoredObject>>(
      Call.send().then([](auto &&Answer) { return readObjectsOf(Answer); }));
}

} // namespace

PeerConnection::PeerConnection(LoopContext &Context,
                               kj::Own<kj::AsyncIoStream> Stream)
    : m_Context(Context), m_Stream(kj::mv(Stream)),
      m_Network(*m_Stream, capnp::rpc::twoparty::Side::CLIENT,
                readerOptions(Context.Options)),
      m_Rpc(capnp::makeRpcClient(m_Network)), m_Remote(bootstrap()) {}

kj::Promise<void> PeerConnection::onDisconnect() {
  return m_Network.onDisconnect();
}

kj::Promise<Result<PeerIdentity>> PeerConnection::hello() {
  auto Call = m_Remote.helloRequest();
  wire::Identity::Builder Self = Call.initSelf();
  Self.setVm(toText(m_Context.Options.Self.Vm.value()));
  Self.setIncarnation(m_Context.Options.Self.IncarnationNumber.value());
  return settled<PeerIdentity>(
      Call.send().then([](auto &&Answer) -> Result<PeerIdentity> {
        if (!Answer.getAccepted())
          return failure(ErrorCode::Unavailable,
                         "the peer knows a later incarnation of this VM");
        wire::Identity::Reader Peer = Answer.getSelf();
        return PeerIdentity{.Vm = VmName(toString(Peer.getVm())),
                            .IncarnationNumber =
                                Incarnation(Peer.getIncarnation())};
      }));
}

kj::Promise<Result<Digest>> PeerConnection::exchange(const Digest &Own) {
  auto Call = m_Remote.exchangeRequest();
  writeDigest(Own, Call.initDigest());
  return settled<Digest>(Call.send().then([](auto &&Answer) -> Result<Digest> {
    return readDigest(Answer.getDigest());
  }));
}

kj::Promise<Result<std::vector<StoredObject>>>
PeerConnection::fetchServices(const std::vector<std::string> &Names) {
  return fetch(m_Remote.fetchServicesRequest(), Names);
}

kj::Promise<Result<std::vector<StoredObject>>>
PeerConnection::fetchIndexes(const std::vector<std::string> &Names) {
  return fetch(m_Remote.fetchIndexesRequest(), Names);
}

kj::Promise<Result<PeerQueryAnswer>>
PeerConnection::query(Incarnation Expected, const PeerQuery &Query) {
  auto Call = m_Remote.queryRequest();
  Call.setExpected(Expected.value());
  Call.setTicket(toText(Query.Ticket));
  Call.setDeadlineMillis(Query.Deadline.Value);
  Call.setBody(toData(Query.Body));
  return settled<PeerQueryAnswer>(
      Call.send().then([](auto &&Answer) -> Result<PeerQueryAnswer> {
        if (!Answer.getAccepted())
          return refused(Answer.getReason());
        return PeerQueryAnswer{.Status = Answer.getStatus(),
                               .Body = toString(Answer.getBody())};
      }));
}

wire::Peer::Client PeerConnection::bootstrap() {
  capnp::MallocMessageBuilder Message;
  auto VatId = Message.initRoot<capnp::rpc::twoparty::VatId>();
  VatId.setSide(capnp::rpc::twoparty::Side::SERVER);
  return m_Rpc.bootstrap(VatId).castAs<wire::Peer>();
}

} // namespace carawaypond::peer
