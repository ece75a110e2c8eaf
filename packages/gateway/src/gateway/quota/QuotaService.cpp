#include "gateway/quota/QuotaService.h"

#include "gateway/quota/QuotaCodec.h"
#include "http/ErrorResponse.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

/// The kind and name of the store object that holds the lease.
constexpr const char *LeaseKind = "carawaypond-quota";
constexpr const char *LeaseName = "allocator";
/// Well below the lifetime of the lease, so that a lost answer leaves time for
/// another call.
constexpr Milliseconds StoreTimeout{500};
/// Time since the store answered any VM for which it is taken to be up.
constexpr Milliseconds MaxContactAge{1'000};
constexpr unsigned BadRequest = 400;

AllocatorRecord recordOf(const LoadedVm &Self) {
  return {.Vm = Self.Record.Name,
          .IncarnationNumber = Self.Record.IncarnationNumber,
          .Address = Self.Record.PeerAddress};
}

/// @return Whether @p Left is preferred as the allocator.
bool isPreferred(const LoadedVm &Left, const LoadedVm &Right) {
  if (Left.Load.Capacity != Right.Load.Capacity)
    return Left.Load.Capacity > Right.Load.Capacity;
  return Left.Record.Name < Right.Record.Name;
}

} // namespace

QuotaService::QuotaService(boost::asio::io_context &Context,
                           adapter::StoreClient &Store, FleetState &State,
                           EventLog &Log, QuotaOptions Options, Describe Self,
                           OnKnown Known)
    : m_Context(Context), m_Store(Store), m_State(State), m_Log(Log),
      m_Options(Options), m_Self(std::move(Self)), m_OnKnown(std::move(Known)),
      m_Lease(recordOf(m_Self()), AllocatorLeaseOptions{}, bootNow()) {}

bool QuotaService::isNeeded() const {
  return m_State.table() && m_State.table()->workspaces().hasQuotas();
}

std::uint64_t QuotaService::rank() const {
  LoadedVm Self = m_Self();
  auto Lost = m_Lease.known();
  std::uint64_t Rank = 0;
  for (const LoadedVm &Each : m_State.vms().heard(monotonicNow())) {
    bool IsLost = Lost && Each.Record.Name == Lost->Vm;
    if (!IsLost && Each.Record.State == VmState::Live &&
        isPreferred(Each, Self))
      ++Rank;
  }
  return Rank;
}

FleetOutlook QuotaService::outlook() const {
  auto MissingSince = m_Lease.missingSince();
  auto Contact = m_State.storeContact();
  return {.Rank = rank(),
          .HearsOthers =
              m_HeardAt && MissingSince && *m_HeardAt > *MissingSince,
          .IsStoreUp = Contact && Contact->Until < MaxContactAge};
}

void QuotaService::onHeartbeat(const std::optional<AllocatorRecord> &Heard) {
  m_HeardAt = bootNow();
  if (!Heard)
    return;
  m_Lease.onAllocatorNamed(*Heard, *m_HeardAt);
  publishAllocator();
}

void QuotaService::onReport(const AllocatorReport &Report) {
  BootTime Now = bootNow();
  if (Report.Named)
    m_Lease.onAllocatorNamed(*Report.Named, Now);
  if (Report.HasEnded)
    m_Lease.onAllocatorEnded(Report.Term, Now);
  if (Report.WasReached)
    m_Lease.onAllocatorReached();
  else
    m_Lease.onAllocatorUnreachable(Report.Term, Now);
  publishAllocator();
}

void QuotaService::tick() {
  if (!isNeeded() || m_IsStopping)
    return;
  bool IsLive = m_Self().Record.State == VmState::Live;
  if (m_Lease.isHolder() || IsLive)
    if (auto Action = m_Lease.tick(outlook(), bootNow()))
      boost::asio::co_spawn(m_Context, performAction(std::move(*Action)),
                            boost::asio::detached);
  updateAllocator();
  publishAllocator();
}

void QuotaService::stop() {
  m_IsStopping = true;
  auto Released = m_Lease.release(bootNow());
  if (Released)
    boost::asio::co_spawn(m_Context, sendWrite(std::move(*Released)),
                          boost::asio::detached);
  updateAllocator();
  publishAllocator();
}

awaitable<void> QuotaService::performAction(LeaseAction Action) {
  if (auto *Write = std::get_if<WriteLease>(&Action))
    co_await writeLease(std::move(*Write));
  else
    co_await readLease();
  updateAllocator();
  publishAllocator();
}

awaitable<void> QuotaService::readLease() {
  TimePoint Deadline = monotonicNow() + StoreTimeout;
  auto Read = co_await m_Store.get(LeaseKind, LeaseName, Deadline);
  if (!Read && Read.error().Code == ErrorCode::NotFound) {
    m_Lease.onRead(std::nullopt, m_Store.era(), bootNow());
    co_return;
  }
  auto Record = Read ? decodeAllocator(Read.value().Content) : std::nullopt;
  if (!Record) {
    m_Lease.onCallFailed(bootNow());
    co_return;
  }
  StoredAllocator Found{.Record = std::move(*Record),
                        .Revision = Read.value().Revision};
  StoreEra Era = Found.Revision.era();
  m_Lease.onRead(std::move(Found), Era, bootNow());
}

awaitable<void> QuotaService::writeLease(WriteLease Action) {
  auto Revision = co_await sendWrite(std::move(Action));
  if (Revision)
    m_Lease.onWritten(*Revision, bootNow());
  else
    m_Lease.onCallFailed(bootNow());
}

awaitable<std::optional<StoreRevision>>
QuotaService::sendWrite(WriteLease Action) {
  TimePoint Deadline = monotonicNow() + StoreTimeout;
  nlohmann::json Content = encodeAllocator(Action.Record);
  std::optional<StoreRevision> Written;
  if (Action.Revision) {
    auto Stored = co_await m_Store.replaceIf(
        LeaseKind, LeaseName, std::move(Content), *Action.Revision, Deadline);
    if (Stored)
      Written = Stored.value().Revision;
  } else {
    auto Stored = co_await m_Store.createDocument(LeaseKind, LeaseName,
                                                  std::move(Content), Deadline);
    if (Stored)
      Written = Stored.value().Revision;
  }
  co_return Written;
}

void QuotaService::updateAllocator() {
  if (!m_Lease.isHolder()) {
    m_Allocator.reset();
    return;
  }
  BootTime Now = bootNow();
  std::uint64_t Term = m_Lease.known()->Term;
  bool IsNew = !m_Allocator || m_Term != Term;
  if (IsNew && m_Lease.mayGrant(Now)) {
    m_Allocator.emplace(m_Options, m_Lease.isFirst(), Now);
    m_Term = Term;
    m_ConfigVersion = 0;
    ++m_Counts.Terms;
    LogLine Line("quota_allocating");
    Line.add("term", Term);
    Line.add("first", m_Lease.isFirst());
    m_Log.write(Line);
  }
  if (m_Allocator && m_ConfigVersion != m_State.configVersion()) {
    m_ConfigVersion = m_State.configVersion();
    m_Allocator->setLimits(m_State.table()->workspaces(), Now);
  }
}

void QuotaService::publishAllocator() {
  auto Known = m_Lease.known();
  bool IsSame = Known.has_value() == m_Published.has_value() &&
                (!Known || Known->Term == m_Published->Term);
  if (IsSame)
    return;
  m_Published = Known;
  LogLine Line("quota_allocator");
  Line.add("vm", Known ? Known->Vm.value() : "");
  Line.add("term", Known ? Known->Term : 0);
  m_Log.write(Line);
  m_OnKnown(std::move(Known));
}

http::Response QuotaService::answer(const http::Request &Asked) {
  auto Call = decodeQuotaCall(Asked.Body);
  if (!Call)
    return http::errorResponse(BadRequest, "not_run", "malformed",
                               "the call cannot be read");
  updateAllocator();
  QuotaAnswer Answer;
  BootTime Now = bootNow();
  if (m_Allocator && m_Lease.mayGrant(Now)) {
    Answer = m_Allocator->handleCall(*Call, Now);
    ++m_Counts.Calls;
  }
  for (const QuotaGrant &Each : Answer.Grants)
    m_Counts.Tokens += Each.Tokens;
  for (const QuotaGrant &Each : Answer.Grants)
    m_Counts.Refused += Each.RetryAfter ? 1 : 0;
  VmRecord Self = m_Self().Record;
  Answer.Vm = Self.Name;
  Answer.IncarnationNumber = Self.IncarnationNumber;
  Answer.IsHolder = m_Lease.isHolder();
  Answer.Known = m_Lease.newest();
  http::Response Sent;
  Sent.Body = encodeQuotaAnswer(Answer);
  return Sent;
}

} // namespace carawaypond::gateway
