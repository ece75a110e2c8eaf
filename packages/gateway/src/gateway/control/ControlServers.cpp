#include "gateway/control/ControlServers.h"

#include "adapter/DirectoryCodec.h"
#include "coordination/addresses/ShardCentres.h"
#include "gateway/peers/PeerFetcher.h"
#include "gateway/peers/PeerState.h"
#include "http/ErrorResponse.h"

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

http::Response notFound() {
  return http::errorResponse(NotFound, "not_run", "no_such_path",
                             "nothing is served at this path");
}

} // namespace

ControlServers::ControlServers(boost::asio::io_context &Context,
                               ControlServerOptions Options,
                               const FleetState &State, Describe Self,
                               Metrics Counted)
    : m_Context(Context), m_Options(std::move(Options)), m_State(State),
      m_Self(std::move(Self)), m_Metrics(std::move(Counted)),
      m_Book({.MaxAddresses = adapter::MaxDirectoryAddresses,
              .Lifetime = m_Options.AddressLifetime}) {}

Result<void> ControlServers::start() {
  Result<void> Opened =
      open(m_Options.ReadyAddress,
           [this](const http::Request &Asked) { return ready(Asked); });
  if (Opened)
    Opened =
        open(m_Options.DirectoryAddress,
             [this](const http::Request &Asked) { return directory(Asked); });
  if (Opened)
    Opened = open(m_Options.PeerAddress,
                  [this](const http::Request &Asked) { return peer(Asked); });
  if (Opened)
    Opened = open(m_Options.MetricsAddress,
                  [this](const http::Request &) { return metrics(); });
  return Opened;
}

Result<void> ControlServers::open(const std::string &Address, Answer Give) {
  http::ListenerOptions Listen;
  Listen.Address = Address;
  Listen.AnnounceIdleClose = false;
  auto Opened = http::Listener::open(
      m_Context, Listen,
      [Give = std::move(Give)](http::Request Asked)
          -> awaitable<http::Response> { co_return Give(Asked); });
  if (!Opened)
    return boost::outcome_v2::failure(Opened.error());
  m_Listeners.push_back(std::move(Opened.value()));
  return success();
}

http::Response ControlServers::ready(const http::Request &Asked) const {
  if (Asked.Path != adapter::ReadyPath)
    return notFound();
  if (m_Self().State == VmState::Live)
    return {};
  return http::errorResponse(Unavailable, "not_run", "not_ready",
                             "this VM is starting or stopping");
}

http::Response ControlServers::directory(const http::Request &Asked) {
  if (Asked.Path != adapter::DirectoryPath)
    return notFound();
  adapter::DirectoryQuestion Question = adapter::decodeDirectoryQuestion(Asked);
  AddressAnswer Found =
      m_Book.answer({.Caller = Question.Host,
                     .Centre = Question.Centre,
                     .CheapCentres = cheapCentres(Question.Host)},
                    m_Self(), m_State.vms().usable(monotonicNow()));
  return adapter::encodeDirectoryAnswer(Found.Addresses, Found.Valid);
}

const std::set<DataCentre> &
ControlServers::cheapCentres(const std::string &Host) {
  if (m_CentresOf != m_State.changes()) {
    m_Centres.clear();
    m_CentresOf = m_State.changes();
  }
  auto [Found, IsNew] = m_Centres.try_emplace(Host);
  if (IsNew && m_State.table())
    Found->second =
        shardCentres(Host, *m_State.table(), m_State.replicas().entries());
  return Found->second;
}

http::Response ControlServers::peer(const http::Request &Asked) const {
  if (Asked.Path != PeerFetcher::Path)
    return notFound();
  http::Response Answer;
  Answer.Body = encodePeerState(m_State, m_Self());
  return Answer;
}

http::Response ControlServers::metrics() const {
  http::Response Answer;
  Answer.ContentType = "text/plain; version=0.0.4";
  Answer.Body = m_Metrics();
  return Answer;
}

} // namespace carawaypond::gateway
