#include "gateway/traffic/CallerService.h"

#include "adapter/ReplyCodec.h"
#include "adapter/RequestCodec.h"
#include "gateway/peers/QuarantineCodec.h"
#include "gateway/traffic/ActiveRequest.h"
#include "gateway/traffic/CallerIdentity.h"
#include "gateway/traffic/RequestContent.h"
#include "gateway/traffic/RequestLog.h"
#include "http/ErrorResponse.h"

#include <algorithm>
#include <random>

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

constexpr Milliseconds SweepInterval{500};
constexpr Milliseconds MinLoggedDelay{50};
/// Shortest time between two log lines on callers whose bytes cost too much.
constexpr Milliseconds OverWorkLogInterval{60'000};
/// How long an ended replica waits to be reported with others: many may end at
/// once. A new quarantine is reported without a wait.
constexpr Milliseconds ReportDelay{50};
/// Assumed timeout of a caller that does not send one.
constexpr Milliseconds DefaultPatience{1'000};
/// Share of its latency objective that a request may wait for a token. The rest
/// is left for the replicas, and for a retry after a refusal.
constexpr double QuotaWaitShare = 0.25;
/// A call to another data centre and back takes some milliseconds, however
/// tight the objective is.
constexpr Milliseconds MinQuotaWait{25};
/// Share of its latency objective within which a request is admitted or
/// refused.
constexpr double AdmissionWaitShare = 0.25;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;

Milliseconds shareOf(Milliseconds Objective, double Share) {
  return std::chrono::duration_cast<Milliseconds>(Objective * Share);
}

Milliseconds quotaWait(const RequestRoute &Route) {
  return std::max(shareOf(Route.Objective, QuotaWaitShare), MinQuotaWait);
}

Milliseconds timeoutOf(const adapter::CallerRequest &Asked,
                       const RequestRoute &Route) {
  return std::min(Asked.Timeout.value_or(Route.Timeout), Route.Timeout);
}

AdmissionRequest admissionOf(const adapter::CallerRequest &Asked,
                             const RunPlan &Plan) {
  Milliseconds Wait =
      std::min(shareOf(Plan.Chosen->Objective, AdmissionWaitShare),
               timeoutOf(Asked, *Plan.Chosen));
  return {.Priority = Plan.priority(),
          .Workspace = WorkspaceName(Asked.Workspace),
          .WaitsUntil = Asked.ReceivedAt + Wait};
}

double randomShare() {
  std::random_device Source;
  return static_cast<double>(Source()) /
         (static_cast<double>(std::random_device::max()) + 1);
}

} // namespace

CallerService::CallerService(boost::asio::io_context &Context,
                             TrafficOptions Options, TrafficCounters &Counters,
                             LatencyMetrics &Latencies, EventLog &Log,
                             QuotaGate::OnReport QuotaReport)
    : m_Context(Context), m_Options(std::move(Options)), m_Counters(Counters),
      m_Latencies(Latencies), m_Log(Log), m_Verdicts(Log),
      m_Fleet(m_Options.Placement), m_Links(Context, m_Options.Pool),
      m_Picker(randomShare()), m_Proof(m_Options.RevocationBound),
      m_Quota(Context, QuotaHolder(m_Options.Vm, m_Options.IncarnationNumber),
              std::move(QuotaReport)),
      m_Admission(Context, Counters, Log), m_Liveness(Context),
      m_View(std::make_shared<TrafficView>()), m_SweepTimer(Context),
      m_ReportTimer(Context) {}

Result<void> CallerService::start() {
  http::ListenerOptions Listen;
  Listen.Address = m_Options.CallerAddress;
  Listen.MaxConnections = m_Options.MaxCallers;
  Listen.MaxConnectionsPerAddress = m_Options.MaxCallers;
  Listen.MaxRequestMemory = m_Options.MaxRequestMemory;
  Listen.AnnounceIdleClose = false;
  Listen.WatchCallers = true;
  auto Opened =
      http::Listener::open(m_Context, Listen, [this](http::Request Asked) {
        return handle(std::move(Asked));
      });
  if (!Opened)
    return boost::outcome_v2::failure(Opened.error());
  m_Listener = std::move(Opened.value());
  sweep();
  return success();
}

void CallerService::follow(std::shared_ptr<const TrafficView> View) {
  bool IsNewTable = View->Table != m_View->Table;
  m_View = std::move(View);
  m_Fleet.setShare(m_View->Share, m_View->Turn, monotonicNow());
  m_Fleet.setTable(m_View->Table);
  m_Fleet.setEvacuated(m_View->Evacuated, monotonicNow());
  m_Fleet.replace(m_View->Replicas, monotonicNow());
  m_Links.apply(*m_View);
  if (m_Fleet.options().Shares)
    m_Counters.ByReplica.retain(m_View->Replicas);
  if (IsNewTable) {
    m_Picker.retain(*m_View->Table);
    m_Quota.retain(m_View->Table->workspaces());
    applyLimits();
  }
}

void CallerService::applyLimits() {
  const CallerLimits &Given = m_View->Table->callerLimits();
  http::ListenerOptions Limits;
  Limits.MaxHeaderBytes = Given.MaxHeaderBytes;
  Limits.MaxBodyBytes = Given.MaxBodyBytes;
  Limits.HeaderTimeout = Given.HeaderTimeout;
  Limits.IdleTimeout = Given.IdleTimeout;
  m_Listener->setLimits(Limits);
}

std::vector<SlowAnswer> CallerService::slowAnswers() const {
  return m_Fleet.slowAnswers(SlowAnswerLifetime, monotonicNow());
}

void CallerService::onSlowAnswers(const VmName &From,
                                  const std::vector<SlowAnswer> &Told) {
  m_Fleet.onSlowAnswers(From, Told, monotonicNow());
}

void CallerService::onQuarantineReports(
    const std::vector<QuarantineReport> &Told) {
  for (const QuarantineReport &Each : Told)
    m_Quarantine.onReport(Each, monotonicNow());
}

bool CallerService::isQuarantined(const adapter::CallerRequest &Asked) const {
  return !m_Quarantine.isEmpty() &&
         m_Quarantine.holds(contentOf(Asked), monotonicNow());
}

void CallerService::onReplicaEnded(bool BeginsQuarantine) {
  if (BeginsQuarantine)
    publishQuarantine(true);
  if (BeginsQuarantine || m_IsReportDue)
    return;
  m_IsReportDue = true;
  m_ReportTimer.expires_after(ReportDelay);
  m_ReportTimer.async_wait([this](boost::system::error_code Stopped) {
    if (Stopped)
      return;
    m_IsReportDue = false;
    publishQuarantine(true);
  });
}

void CallerService::publishQuarantine(bool IsUrgent) {
  auto Reports = m_Quarantine.reports(MaxQuarantineReports, monotonicNow());
  bool IsChange = !Reports.empty() || m_HasQuarantineReports;
  m_HasQuarantineReports = !Reports.empty();
  if (m_OnQuarantine && IsChange)
    m_OnQuarantine(std::move(Reports), IsUrgent);
}

void CallerService::beginLeaving() { m_Listener->setDraining(true); }

void CallerService::closeIdle() {
  if (!m_HasStopped)
    m_Listener->stopAccepting();
  m_HasStopped = true;
  m_Listener->closeIdle();
}

void CallerService::answerAll() {
  auto Active = m_Active;
  for (const auto &Each : Active)
    Each->stop();
}

std::size_t CallerService::busy() const { return m_Listener->stats().Open; }

void CallerService::sweep() {
  TimePoint Now = monotonicNow();
  m_Links.closeExpired(Now);
  m_Verdicts.check(m_Fleet, Now);
  m_Counters.ReplicasRateBound = m_Verdicts.rateBound();
  m_Counters.ReplicasReportedSlow = m_Fleet.reportedSlow(Now);
  noteOverWork(Now);
  m_Quota.callIfDue();
  m_Admission.update();
  m_Quarantine.expire(Now);
  m_Counters.Quarantined = m_Quarantine.count(Now);
  publishQuarantine(false);
  m_SweepTimer.expires_after(SweepInterval);
  m_SweepTimer.async_wait([this](boost::system::error_code Stopped) {
    if (Stopped)
      return;
    recordDelay(monotonicNow() - m_SweepTimer.expiry());
    sweep();
  });
}

void CallerService::noteOverWork(TimePoint Now) {
  std::uint64_t Count = m_Listener->stats().OverWork;
  m_Counters.CallersOverWork = Count;
  if (Count == m_OverWorkLogged || Now < m_OverWorkLogAt)
    return;
  LogLine Line("callers_over_work");
  Line.add("count", Count - m_OverWorkLogged);
  m_Log.write(Line);
  m_OverWorkLogged = Count;
  m_OverWorkLogAt = Now + OverWorkLogInterval;
}

void CallerService::recordDelay(Duration Late) {
  auto Millis = std::chrono::duration_cast<Milliseconds>(Late);
  if (Millis < MinLoggedDelay)
    return;
  auto Count = static_cast<std::uint64_t>(Millis.count());
  m_Counters.LongestDelayMs =
      std::max<std::uint64_t>(m_Counters.LongestDelayMs, Count);
  LogLine Line("traffic_late");
  Line.add("late_ms", Count);
  m_Log.write(Line);
}

http::Response CallerService::refuse(const adapter::CallerRequest &Asked,
                                     RefusalReason Why) {
  return refuse(Asked, Why, m_RetryAdvice,
                Asked.Timeout.value_or(DefaultPatience));
}

http::Response
CallerService::refuseOverload(const adapter::CallerRequest &Asked,
                              const RunPlan &Plan) {
  auto Waited = std::chrono::duration_cast<Milliseconds>(monotonicNow() -
                                                         Asked.ReceivedAt);
  return refuse(Asked, RefusalReason::ReplicasBusy,
                m_Fleet.retryAdvice(*Plan.Chosen), Plan.CallerTimeout - Waited);
}

http::Response CallerService::refuse(const adapter::CallerRequest &Asked,
                                     RefusalReason Why, RetryAdvice &Advice,
                                     Milliseconds Patience) {
  ++m_Counters.Refused;
  std::string_view Reason = nameOf(Why);
  m_Log.write(describeNotRun(Asked, Reason));
  Milliseconds RetryAfter =
      Advice.retryAfter(Why, Patience, Duration(0), monotonicNow());
  return adapter::encodeRefusal(Reason, RetryAfter);
}

http::Response CallerService::refuseQuota(const adapter::CallerRequest &Asked,
                                          const Workspace &Caller,
                                          QuotaResult Why) {
  if (Why == QuotaResult::Unavailable)
    return refuse(Asked, RefusalReason::QuotaUnavailable);
  ++m_Counters.OverQuota;
  LogLine Line = describeNotRun(Asked, "over_quota");
  Line.add("workspace", Caller.Name.value());
  m_Log.write(Line);
  return adapter::encodeOverQuota(m_Quota.retryAfter(Caller.Name));
}

http::Response CallerService::refuseUnknownRoute() {
  ++m_Counters.NotFound;
  return http::errorResponse(NotFound, "not_run", "no_route",
                             "no route of this host has this path");
}

std::optional<http::Response>
CallerService::deny(const adapter::CallerRequest &Asked, const Access &Given) {
  if (!Given.IsAllowed) {
    ++m_Counters.Unauthorized;
    return adapter::encodeUnauthorized();
  }
  if (Given.Caller != nullptr && !m_Proof.areKeysTrusted(bootNow()))
    return refuse(Asked, RefusalReason::KeyUnproven);
  return std::nullopt;
}

awaitable<http::Response> CallerService::handle(http::Request Asked) {
  ++m_Counters.Requests;
  auto Table = m_View->Table;
  bool HasKeys = Table && Table->workspaces().areKeysRequired();
  auto Decoded = adapter::decodeRequest(std::move(Asked), HasKeys);
  if (!Decoded)
    co_return http::errorResponse(BadRequest, "not_run", "malformed",
                                  Decoded.error().Message);
  adapter::CallerRequest Request = std::move(Decoded.value());
  if (!Table || !m_View->HasReplicas)
    co_return refuse(Request, RefusalReason::NotReady);
  const RequestRoute *Chosen = Table->find(Request.Host, Request.Path);
  if (Chosen == nullptr)
    co_return refuseUnknownRoute();
  Access Given = identifyCaller(*Table, *Chosen, Request);
  if (auto Denied = deny(Request, Given))
    co_return std::move(*Denied);
  if (isQuarantined(Request)) {
    ++m_Counters.QuarantineRefused;
    co_return refuse(Request, RefusalReason::EndsReplicas);
  }
  QuotaAdmission Quota = co_await spendQuota(Request, *Chosen, Given.Caller);
  if (Quota.Result != QuotaResult::Granted)
    co_return refuseQuota(Request, *Given.Caller, Quota.Result);
  RunPlan Plan = plan(Table, *Chosen, Request);
  Plan.Caller = Given.Caller;
  co_return co_await admit(std::move(Request), std::move(Plan), Quota);
}

awaitable<QuotaAdmission>
CallerService::spendQuota(const adapter::CallerRequest &Asked,
                          const RequestRoute &Chosen, const Workspace *Caller) {
  if (Caller == nullptr || !Caller->hasQuota())
    co_return QuotaAdmission{};
  Milliseconds Wait = std::min(quotaWait(Chosen), timeoutOf(Asked, Chosen));
  co_return co_await m_Quota.admit(Caller->Name, Asked.ReceivedAt + Wait);
}

bool CallerService::isTooLate(const adapter::CallerRequest &Asked,
                              const RunPlan &Plan) const {
  return Asked.ReceivedAt + Plan.timeout() > m_RefusesBeyond;
}

void CallerService::returnToken(const QuotaAdmission &Quota) {
  if (Quota.Token)
    m_Quota.returnToken(*Quota.Token);
}

awaitable<http::Response> CallerService::admit(adapter::CallerRequest Asked,
                                               RunPlan Plan,
                                               QuotaAdmission Quota) {
  if (isTooLate(Asked, Plan)) {
    returnToken(Quota);
    co_return refuse(Asked, RefusalReason::Leaving);
  }
  if (!Plan.Table->hasPriorities())
    co_return co_await run(std::move(Asked), std::move(Plan), std::nullopt);
  auto Admitted =
      co_await m_Admission.admit(Plan.Services, admissionOf(Asked, Plan));
  if (!Admitted) {
    returnToken(Quota);
    co_return refuseOverload(Asked, Plan);
  }
  // This VM may have begun to leave while the request waited.
  if (isTooLate(Asked, Plan)) {
    m_Admission.end(*Admitted, std::nullopt);
    returnToken(Quota);
    co_return refuse(Asked, RefusalReason::Leaving);
  }
  Plan.Limit = &Admitted->Target->second.rate();
  co_return co_await run(std::move(Asked), std::move(Plan), Admitted);
}

awaitable<http::Response>
CallerService::run(adapter::CallerRequest Asked, RunPlan Plan,
                   std::optional<AdmittedRequest> Admitted) {
  SubrequestId First(m_NextAttempt);
  SharedResources Parts{.Context = m_Context,
                        .Fleet = m_Fleet,
                        .Links = m_Links,
                        .Counters = m_Counters,
                        .Latencies = m_Latencies,
                        .Log = m_Log,
                        .Quarantine = m_Quarantine,
                        .Liveness = m_Liveness,
                        .OnReplicaEnded = [this](bool BeginsQuarantine) {
                          onReplicaEnded(BeginsQuarantine);
                        }};
  auto Active = std::make_shared<ActiveRequest>(
      Parts, std::move(Asked), std::move(Plan), First, m_Options.Run);
  m_NextAttempt += Active->maxAttempts();
  ++m_Counters.InFlight;
  m_Active.insert(Active);
  http::Response Answer = co_await Active->run();
  m_Active.erase(Active);
  if (Admitted)
    m_Admission.end(*Admitted, Active->loadSample());
  --m_Counters.InFlight;
  co_return Answer;
}

RunPlan CallerService::plan(std::shared_ptr<const RoutingTable> Table,
                            const RequestRoute &Chosen,
                            const adapter::CallerRequest &Asked) {
  RunPlan Plan;
  Plan.Table = std::move(Table);
  Plan.Chosen = &Chosen;
  Plan.CallerTimeout = Asked.Timeout.value_or(Chosen.Timeout);
  Plan.AlreadyWaited =
      m_CallerTimeouts.elapsedBefore(Chosen.Name, Plan.CallerTimeout);
  if (const auto *Single = std::get_if<SingleTarget>(&Chosen.Target))
    Plan.Services = {Single->Service};
  if (const auto *Weighted = std::get_if<WeightedTarget>(&Chosen.Target))
    Plan.Services = {m_Picker.pick(Chosen, *Weighted)};
  if (const auto *Shards = std::get_if<ShardSetTarget>(&Chosen.Target))
    Plan.Services = Shards->Shards;
  return Plan;
}

} // namespace carawaypond::gateway
