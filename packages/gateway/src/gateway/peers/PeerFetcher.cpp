#include "gateway/peers/PeerFetcher.h"

#include "gateway/peers/PeerState.h"
#include "http/Connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// How long a starting VM waits for the store before it queries other VMs.
constexpr Milliseconds StoreTimeout{400};
constexpr Milliseconds RetryInterval{300};
constexpr Milliseconds FetchTimeout{700};
/// How long another VM may have a newer configuration before this VM fetches it
/// from there instead of waiting for the store.
constexpr Milliseconds MaxConfigLag{600};
/// Shortest interval between two fetches for the sake of presumed replicas.
constexpr Milliseconds PresumedInterval{1'000};
constexpr unsigned Ok = 200;

} // namespace

PeerFetcher::PeerFetcher(boost::asio::io_context &Context, FleetState &State,
                         Milliseconds MaxAge, EventLog &Log,
                         std::string OwnAddress, std::vector<std::string> Seeds)
    : m_Context(Context), m_State(State), m_MaxAge(MaxAge), m_Log(Log),
      m_OwnAddress(std::move(OwnAddress)), m_Seeds(std::move(Seeds)) {}

std::vector<std::string> PeerFetcher::addresses() const {
  std::vector<std::string> Addresses;
  for (const std::string &Each : m_Seeds)
    if (Each != m_OwnAddress)
      Addresses.push_back(Each);
  for (const VmRecord &Each : m_State.vms().known())
    Addresses.push_back(Each.PeerAddress);
  return Addresses;
}

awaitable<void> PeerFetcher::runUntilReady() {
  boost::asio::steady_timer Timer(m_Context);
  Milliseconds Pause = StoreTimeout;
  while (!m_State.isReady()) {
    Timer.expires_after(Pause);
    co_await Timer.async_wait(AsTuple);
    Pause = RetryInterval;
    std::vector<std::string> Asked = addresses();
    for (std::size_t I = 0; I < Asked.size() && !m_State.isReady(); ++I)
      co_await fetch(Asked[I]);
  }
}

bool PeerFetcher::presumesMore(const Heartbeat &Heard, TimePoint Now) const {
  const ReplicaRegistry &Replicas = m_State.replicas();
  bool IsDue =
      !m_PresumedFetchedAt || Now - *m_PresumedFetchedAt > PresumedInterval;
  return IsDue && Heard.Presumed > Replicas.presumed() &&
         Replicas.isRecovering(Now);
}

void PeerFetcher::onHeartbeat(const Heartbeat &Heard) {
  TimePoint Now = monotonicNow();
  bool HasNewerConfig = Heard.ConfigVersion > m_State.configVersion();
  bool HasNewerReplicas = Heard.ReplicaRevision > m_State.replicaRevision();
  bool HasNewerEvacuations =
      m_State.followsEvacuations() &&
      Heard.EvacuationRevision > m_State.evacuations().asOf();
  bool PresumesMore = presumesMore(Heard, Now);
  if (!HasNewerConfig)
    m_ConfigBehindSince.reset();
  else if (!m_ConfigBehindSince)
    m_ConfigBehindSince = Now;
  bool IsBehind =
      m_ConfigBehindSince && Now - *m_ConfigBehindSince >= MaxConfigLag;
  bool IsCutOff = m_State.age() > m_MaxAge &&
                  (HasNewerConfig || HasNewerReplicas || HasNewerEvacuations);
  if (m_IsFetching || !(IsBehind || IsCutOff || PresumesMore))
    return;
  if (PresumesMore)
    m_PresumedFetchedAt = Now;
  boost::asio::co_spawn(m_Context, fetch(Heard.Vm.Record.PeerAddress),
                        boost::asio::detached);
}

awaitable<void> PeerFetcher::fetch(std::string Address) {
  m_IsFetching = true;
  TimePoint Deadline = monotonicNow() + FetchTimeout;
  http::Connection Peer(m_Context.get_executor(), Address);
  auto Connected = co_await Peer.connect(Deadline);
  std::optional<PeerState> State;
  BootTime AskedAt = bootNow();
  std::string Why;
  if (Connected) {
    http::Request Asked;
    Asked.Path = Path;
    AskedAt = bootNow();
    auto Answer = co_await Peer.roundTrip(std::move(Asked), Deadline);
    if (Answer && Answer.value().Status == Ok)
      State = decodePeerState(Answer.value().Body);
    if (!Answer)
      Why = Answer.error().Message;
  } else {
    Why = Connected.error().Message;
  }
  m_IsFetching = false;
  LogLine Line("state_fetched");
  Line.add("from", Address);
  Line.add("succeeded", State.has_value());
  Line.add("why", Why);
  m_Log.write(Line);
  if (!State)
    co_return;
  for (const VmRecord &Each : State->Vms)
    m_State.onVmRecord(Each);
  bool IsConfigRead =
      State->Config.is_null() || m_State.applyConfig(State->Config, PeerSource);
  if (State->Contact)
    m_State.onStoreContact(*State->Contact);
  // A VM that does not follow them would not learn of their end either.
  if (State->Evacuations && m_State.followsEvacuations())
    m_State.mergeEvacuations(State->Evacuations->List, PeerSource);
  // A VM that never read the list has the revision 0.
  if (State->Replicas.AsOf > StoreRevision(0))
    m_State.mergeReplicas(State->Replicas, PeerSource);
  m_State.publish();
  if (State->ProofAge && IsConfigRead)
    m_State.proveConfig(AskedAt - *State->ProofAge, PeerSource);
}

} // namespace carawaypond::gateway
