#include "gateway/control/ControlServers.h"

#include "adapter/DirectoryCodec.h"
#include "coordination/addresses/ShardCentres.h"
#include "gateway/peers/Changes.h"
#include "gateway/peers/PeerFetcher.h"
#include "gateway/peers/PeerState.h"
#include "gateway/quota/QuotaCodec.h"
#include "http/ErrorResponse.h"

#include <boost/outcome/try.hpp>

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

/// Only calls for quotas have bodies, of MaxUsesPerCall workspaces at most.
constexpr std::size_t MaxBodyBytes = std::size_t{256} << 10;
/// Memory that the requests to one port use together.
constexpr std::size_t MaxRequestMemory = std::size_t{4} << 20;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

http::Response notFound() {
  return http::errorResponse(NotFound, "not_run", "no_such_path",
                             "nothing is served at this path");
}

} // namespace

ControlServers::ControlServers(boost::asio::io_context &Context,
                               ControlServerOptions Options, FleetState &State,
                               Describe DescribeSelf, Metrics MetricsText,
                               Quota AnswerQuota)
    : m_Context(Context), m_Options(std::move(Options)), m_State(State),
      m_DescribeSelf(std::move(DescribeSelf)),
      m_MetricsText(std::move(MetricsText)),
      m_AnswerQuota(std::move(AnswerQuota)) {}

Result<void> ControlServers::start() {
  BOOST_OUTCOME_TRY(
      m_Addresses.Ready,
      open(m_Options.ReadyAddress,
           [this](http::Request Asked) -> awaitable<http::Response> {
             co_return ready(Asked);
           }));
  BOOST_OUTCOME_TRY(
      m_Addresses.Directory,
      open(m_Options.DirectoryAddress,
           [this](http::Request Asked) -> awaitable<http::Response> {
             co_return directory(Asked);
           }));
  BOOST_OUTCOME_TRY(m_Addresses.Peers,
                    open(m_Options.PeerAddress, [this](http::Request Asked) {
                      return peer(std::move(Asked));
                    }));
  BOOST_OUTCOME_TRY(m_Addresses.Metrics,
                    open(m_Options.MetricsAddress,
                         [this](http::Request) -> awaitable<http::Response> {
                           co_return metrics();
                         }));
  return success();
}

Result<std::string> ControlServers::open(const std::string &Address,
                                         http::Handler Handle) {
  http::ListenerOptions Listen;
  Listen.Address = Address;
  Listen.MaxBodyBytes = MaxBodyBytes;
  Listen.MaxRequestMemory = MaxRequestMemory;
  Listen.AnnounceIdleClose = false;
  auto Opened = http::Listener::open(m_Context, Listen, std::move(Handle));
  if (!Opened)
    return boost::outcome_v2::failure(Opened.error());
  m_Listeners.push_back(std::move(Opened.value()));
  return m_Listeners.back()->address();
}

http::Response ControlServers::ready(const http::Request &Asked) const {
  if (Asked.Path != adapter::ReadyPath)
    return notFound();
  if (m_DescribeSelf().Record.State == VmState::Live)
    return {};
  return http::errorResponse(Unavailable, "not_run", "not_ready",
                             "this VM is starting or stopping");
}

http::Response ControlServers::directory(const http::Request &Asked) {
  if (Asked.Path != adapter::DirectoryPath)
    return notFound();
  adapter::DirectoryRequest Question = adapter::decodeDirectoryRequest(Asked);
  std::vector<LoadedVm> Usable = m_State.vms().usable(monotonicNow());
  LoadedVm Self = m_DescribeSelf();
  if (Self.Record.State == VmState::Live || Usable.empty())
    Usable.push_back(Self);
  std::vector<std::string> Addresses = m_Directory.answer(
      {.Centre = Question.Centre, .CheapCentres = cheapCentres(Question.Host)},
      Usable);
  return adapter::encodeDirectoryAnswer(Addresses, m_Options.AddressLifetime);
}

const std::set<DataCentre> &
ControlServers::cheapCentres(const std::string &Host) {
  if (m_CheapCentresVersion != m_State.changes()) {
    m_CheapCentres.clear();
    m_CheapCentresVersion = m_State.changes();
  }
  auto [Found, IsNew] = m_CheapCentres.try_emplace(Host);
  if (IsNew && m_State.table())
    Found->second =
        shardCentres(Host, *m_State.table(), m_State.replicas().entries());
  return Found->second;
}

awaitable<http::Response> ControlServers::peer(http::Request Asked) {
  if (Asked.Path == ChangesPath)
    co_return co_await changes(std::move(Asked));
  if (Asked.Path == QuotaPath)
    co_return m_AnswerQuota(Asked);
  if (Asked.Path != PeerFetcher::Path)
    co_return notFound();
  http::Response Answer;
  Answer.Body = encodePeerState(m_State, m_DescribeSelf().Record);
  co_return Answer;
}

awaitable<http::Response> ControlServers::changes(http::Request Asked) {
  ChangesRequest Question = decodeChangesRequest(Asked);
  BootTime AskedAt = bootNow();
  TimePoint Deadline = monotonicNow() + Question.Wait;
  bool IsKnown = Question.IncarnationNumber == m_Options.IncarnationNumber;
  bool MustWait = IsKnown && !hasChanges(Question, m_State);
  while (MustWait && monotonicNow() < Deadline && m_DescribeSelf().ReadsStore) {
    co_await m_State.signal().wait(m_Context, Deadline);
    MustWait = !hasChanges(Question, m_State);
  }
  if (!IsKnown)
    Question.Sequence = 0;
  http::Response Answer;
  auto Waited = std::chrono::floor<Milliseconds>(bootNow() - AskedAt);
  Answer.Body = encodeChanges(Question, m_State, m_Options.IncarnationNumber,
                              m_DescribeSelf(), Waited);
  co_return Answer;
}

http::Response ControlServers::metrics() const {
  http::Response Answer;
  Answer.ContentType = "text/plain; version=0.0.4";
  Answer.Body = m_MetricsText();
  return Answer;
}

} // namespace carawaypond::gateway
