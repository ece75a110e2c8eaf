#include "daemon/traffic/QueryRunner.h"

#include "coordination/ownership/RouteTable.h"
#include "coordination/subrequest/SubReason.h"
#include "daemon/traffic/QueryDriver.h"
#include "daemon/traffic/QueryResponse.h"

#include <algorithm>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

OwnershipUnit unitOf(RoutePolicy Policy) {
  switch (Policy) {
  case RoutePolicy::OwnerOfShard:
    return OwnerOfShard{};
  case RoutePolicy::OwnerOfReplica:
    return OwnerOfReplica{};
  case RoutePolicy::Direct:
    return DirectSending{};
  }
  return OwnerOfShard{};
}

const CallerClass *findClass(const ServiceConfig &Config,
                             const std::optional<ClassName> &Name) {
  if (!Name)
    return &Config.Classes.front();
  auto Found = std::find_if(
      Config.Classes.begin(), Config.Classes.end(),
      [&](const CallerClass &Class) { return Class.Name == *Name; });
  return Found == Config.Classes.end() ? nullptr : &*Found;
}

/// @return The time halfway to the deadline. The other half is left for the
/// steps that follow.
TimePoint halfwayTo(TimePoint Deadline) {
  TimePoint Now = monotonicNow();
  return Now + (Deadline - Now) / 2;
}

/// @brief Returns whether a query met its deadline, for admission control.
struct MetDeadlineVisitor {
  bool operator()(const QueryComplete &) const { return true; }
  bool operator()(const QueryPartial &Partial) const {
    return std::none_of(Partial.Missing.begin(), Partial.Missing.end(),
                        [](const MissingShard &Missing) {
                          return isTimeoutReason(Missing.Reason);
                        });
  }
  bool operator()(const QueryNotRun &NotRun) const {
    return !isTimeoutReason(NotRun.Reason);
  }
  bool operator()(const QueryUnknown &Unknown) const {
    return !isTimeoutReason(Unknown.Reason);
  }

  static bool isTimeoutReason(SubReason Reason) {
    return Reason == SubReason::Timeout || Reason == SubReason::Deadline ||
           Reason == SubReason::Overloaded || Reason == SubReason::Shed;
  }
};

/// @brief Converts one result to the totals to add to its service's coverage.
struct CoverageVisitor {
  CoverageTotals operator()(const QueryComplete &Complete) const {
    return {.Complete = 1,
            .ShardsAnswered = Complete.Answers.size(),
            .ShardsTotal = Complete.Answers.size()};
  }
  CoverageTotals operator()(const QueryPartial &Partial) const {
    return {.Partial = 1,
            .ShardsAnswered = Partial.Answers.size(),
            .ShardsTotal = Partial.total()};
  }
  CoverageTotals operator()(const QueryNotRun &) const { return {.NotRun = 1}; }
  CoverageTotals operator()(const QueryUnknown &) const {
    return {.Unknown = 1};
  }
};

} // namespace

QueryRunner::QueryRunner(TrafficContext &Context, ServiceTable &Services,
                         OwnerRunner &Owned, RemoteOwners &Remote,
                         StatusPoller &Poller)
    : m_Context(Context), m_Services(Services), m_Owned(Owned),
      m_Remote(Remote), m_Poller(Poller) {}

void QueryRunner::apply(std::shared_ptr<const ControlView> View) {
  std::vector<VmName> Live;
  for (const VmView &Vm : View->Vms)
    if (Vm.MayOwn)
      Live.push_back(Vm.Name);
  m_Routes = std::make_shared<const RouteTable>(
      RouteTableOptions{.Unit = unitOf(m_Context.Config.Policy.Route),
                        .Self = m_Context.Config.Vm,
                        .LiveVms = std::move(Live)});
  m_View = std::move(View);
}

asio::awaitable<http::Response> QueryRunner::run(QueryRequest Request,
                                                 TimePoint ArrivedAt) {
  const std::string &Name = Request.Service.value();
  if (!m_Routes || !m_Context.Views.mayServe(monotonicNow()))
    co_return notRun(503, "not_current",
                     "this VM can't tell whether its configuration is in "
                     "force; use another one");
  std::shared_ptr<ServiceRuntime> Service = m_Services.find(Request.Service);
  if (!Service)
    co_return notRun(404, "not_found",
                     "service \"" + Name + "\" does not exist");
  const ServiceConfig &Config = Service->config();
  const CallerClass *Class = findClass(Config, Request.Class);
  if (!Class)
    co_return notRun(400, "invalid",
                     "service \"" + Name + "\" has no class \"" +
                         Request.Class->value() + "\"");
  if (Request.Request.size() > Config.Limits.RequestBytes)
    co_return notRun(413, "too_large",
                     "service \"" + Name + "\" takes requests of at most " +
                         std::to_string(Config.Limits.RequestBytes) + " bytes");
  Query Asked{
      .Service = Request.Service,
      .Class = Class->Name,
      .Deadline = ArrivedAt + Request.Deadline.value_or(Class->Deadline),
      .Repeatable = Request.Repeatable,
      .Request =
          std::make_shared<const std::string>(std::move(Request.Request))};
  if (!Service->pinner().pin())
    co_await m_Poller.awaitSnapshot(Service, halfwayTo(Asked.Deadline));
  TimePoint Now = monotonicNow();
  AdmissionControl &Admission = Service->admission();
  Admission.noteExpectedWait(
      m_Owned.expectedWait(Asked.Service, Asked.Class, Now), Now);
  AdmissionDecision Verdict = Admission.admit(Asked.Class, Asked.Deadline, Now);
  if (auto *Refused = std::get_if<AdmissionRefused>(&Verdict)) {
    QueryResult Result = QueryNotRun{Refused->Reason};
    count(Result, Asked, ArrivedAt);
    co_return toResponse(Result, Asked.Service, "");
  }
  co_return co_await runAdmitted(std::move(Service), std::move(Asked),
                                 ArrivedAt);
}

asio::awaitable<http::Response>
QueryRunner::runAdmitted(std::shared_ptr<ServiceRuntime> Service, Query Asked,
                         TimePoint ArrivedAt) {
  std::string RequestId = m_Context.Config.Vm.value() + "." +
                          std::to_string(m_Context.IncarnationNumber.value()) +
                          "." + std::to_string(++m_LastRequest);
  auto Driver = std::make_shared<QueryDriver>(
      Asked, QueryDriverResources{.Context = m_Context,
                                  .Owned = m_Owned,
                                  .Remote = m_Remote,
                                  .Service = Service,
                                  .Routes = m_Routes,
                                  .View = m_View});
  QueryResult Result = co_await Driver->run();
  Service->admission().finished(
      Asked.Class, std::visit(MetDeadlineVisitor{}, Result), monotonicNow());
  m_Context.Collected.count("query_restarts_total",
                            Driver->counters().Restarts);
  m_Context.Collected.count("reroutes_total", Driver->counters().Reroutes);
  count(Result, Asked, ArrivedAt);
  co_return toResponse(Result, Asked.Service, RequestId);
}

void QueryRunner::count(const QueryResult &Result, const Query &Asked,
                        TimePoint ArrivedAt) {
  m_Context.Collected.addLatency(Asked.Service, Asked.Class,
                                 monotonicNow() - ArrivedAt);
  m_Context.Collected.addCoverage(Asked.Service,
                                  std::visit(CoverageVisitor{}, Result));
}

} // namespace carawaypond::daemon
