#include "gateway/control/ReaderFollower.h"

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

constexpr unsigned Ok = 200;
/// Share of ReaderWait from which a call without evacuations in its answer
/// counts. An earlier answer may be that of a VM that has yet to read them.
constexpr double LongWaitShare = 0.5;

/// @return The era of the store in which the replicas were read.
StoreEra eraOf(const ChangesResponse &Answer) {
  return std::visit([](const auto &Each) { return Each.AsOf.era(); },
                    Answer.Replicas);
}

} // namespace

ReaderFollower::ReaderFollower(boost::asio::io_context &Context,
                               FleetState &State, StoreRole &Role,
                               const FollowOptions &Options)
    : m_Context(Context), m_State(State), m_Role(Role), m_Options(Options),
      m_Pause(Context, Options) {
  m_Request.Wait = Options.ReaderWait;
}

awaitable<void> ReaderFollower::run() {
  for (;;) {
    auto Reader = m_Role.reader();
    if (!Reader) {
      m_Peer.reset();
      co_await m_Pause.wait(m_Options.RolePause);
      continue;
    }
    auto Answer = co_await ask(Reader->PeerAddress);
    if (!Answer) {
      m_Peer.reset();
      m_Role.onReaderFailed(Reader->Name, Answer.error().Message);
      continue;
    }
    auto Unfit = whyUnfit(Answer.value());
    apply(std::move(Answer.value()));
    if (Unfit)
      m_Role.onReaderFailed(Reader->Name, *Unfit);
  }
}

std::optional<std::string>
ReaderFollower::whyUnfit(const ChangesResponse &Answer) const {
  if (!Answer.ReadsStore)
    return "it lost the store";
  if (Answer.HasReplicas && eraOf(Answer) < m_State.replicaRevision().era())
    return "it does not know that the store went back";
  bool HasWaited = bootNow() - m_AskedAt > m_Options.ReaderWait * LongWaitShare;
  // A VM of an earlier release does not read the evacuations.
  if (HasWaited && !Answer.Evacuations && m_State.followsEvacuations())
    return "it does not know the evacuations";
  return std::nullopt;
}

awaitable<Result<ChangesResponse>> ReaderFollower::ask(std::string Address) {
  TimePoint Deadline =
      monotonicNow() + m_Options.ReaderWait + m_Options.ReaderTimeout;
  if (!m_Peer || m_Peer->address() != Address || !m_Peer->isOpen()) {
    m_Peer =
        std::make_unique<http::Connection>(m_Context.get_executor(), Address);
    auto Connected =
        co_await m_Peer->connect(monotonicNow() + m_Options.ReaderTimeout);
    if (!Connected)
      co_return boost::outcome_v2::failure(Connected.error());
  }
  m_Request.ConfigVersion = m_State.configVersion();
  if (m_State.followsEvacuations() && !m_Request.EvacuationSequence)
    m_Request.EvacuationSequence = 0;
  http::Request Asked = encodeChangesRequest(m_Request);
  m_AskedAt = bootNow();
  auto Answer = co_await m_Peer->roundTrip(std::move(Asked), Deadline);
  if (!Answer)
    co_return boost::outcome_v2::failure(Answer.error());
  auto Read = Answer.value().Status == Ok ? decodeChanges(Answer.value().Body)
                                          : std::nullopt;
  if (!Read)
    co_return failure(ErrorCode::Malformed, Address + ": no list of changes");
  co_return std::move(*Read);
}

void ReaderFollower::applyReplicas(const ReplicaList &List, bool HasReplicas) {
  if (HasReplicas)
    m_State.mergeReplicas(List, ReaderSource);
  m_AnswerRevision = List.AsOf;
}

void ReaderFollower::applyReplicas(ReplicaDelta Delta) {
  Delta.Base = m_AnswerRevision;
  m_AnswerRevision = Delta.AsOf;
  if (!m_State.mergeReplicas(Delta, ReaderSource))
    m_Request.Sequence = 0;
}

void ReaderFollower::applyEvacuations(
    const std::optional<EvacuationReport> &Report) {
  if (!m_State.followsEvacuations())
    return;
  m_Request.EvacuationSequence = Report ? Report->Sequence : 0;
  if (!Report)
    return;
  m_State.mergeEvacuations(Report->List, ReaderSource);
  m_State.confirmEvacuations(monotonicNow() - Report->Age);
}

void ReaderFollower::apply(ChangesResponse Answer) {
  m_Request.IncarnationNumber = Answer.IncarnationNumber;
  m_Request.Sequence = Answer.Sequence;
  bool IsConfigRead = Answer.Config.is_null() ||
                      m_State.applyConfig(Answer.Config, ReaderSource);
  // It decides what a missing entry means.
  if (Answer.Contact)
    m_State.onStoreContact(*Answer.Contact);
  applyEvacuations(Answer.Evacuations);
  if (auto *List = std::get_if<ReplicaList>(&Answer.Replicas))
    applyReplicas(*List, Answer.HasReplicas);
  else
    applyReplicas(std::get<ReplicaDelta>(std::move(Answer.Replicas)));
  for (const LoadedVm &Each : Answer.RemoteVms)
    m_State.onRelayedVm(Each);
  m_State.publish();
  TimePoint Now = monotonicNow();
  m_State.confirmReplicas(Now - Answer.ReplicaAge);
  m_State.confirmConfig(Now - Answer.ConfigAge);
  // The followed VM answered no sooner than it says that it waited.
  if (Answer.ProofAge && IsConfigRead)
    m_State.proveConfig(m_AskedAt + Answer.Waited - *Answer.ProofAge,
                        ReaderSource);
}

} // namespace carawaypond::gateway
