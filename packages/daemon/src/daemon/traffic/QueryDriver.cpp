#include "daemon/traffic/QueryDriver.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

/// The shortest time after which an owner counts as unresponsive.
constexpr Duration MinOwnerTimeout = Milliseconds(40);
constexpr double OwnerTimeoutQuantile = 0.99;
/// How long before the caller's deadline an owner must finish, so that its
/// report arrives in time. For short deadlines, the margin is the remaining
/// time divided by ReportMarginPart.
constexpr Duration ReportMargin = Milliseconds(4);
constexpr int ReportMarginPart = 10;

/// Scales with the observed latency, since reports of a busy owner take longer:
/// subrequests wait there for slots.
Duration ownerTimeout(ServiceRuntime &Service, const ClassName &Class) {
  return std::max(MinOwnerTimeout,
                  Service.forwarded()
                      .quantile(Class, OwnerTimeoutQuantile, monotonicNow())
                      .value_or(MinOwnerTimeout));
}

TimePoint ownerDeadline(TimePoint Deadline) {
  Duration Left = std::max(Deadline - monotonicNow(), Duration::zero());
  return Deadline - std::min(ReportMargin, Left / ReportMarginPart);
}

} // namespace

/// @brief Executes one action returned by the query.
struct QueryDriver::ActionVisitor {
  QueryDriver &Driver;

  void operator()(SendSubrequest &Send) const {
    Send.Request.Deadline = ownerDeadline(Send.Request.Deadline);
    if (Send.Owner == Driver.m_Resources.Context.Config.Vm)
      Driver.sendLocal(std::move(Send.Request));
    else
      Driver.m_Outgoing[Send.Owner].push_back(std::move(Send.Request));
  }
  void operator()(CancelSubrequest &Cancel) const {
    QueryDriverResources &Resources = Driver.m_Resources;
    if (Cancel.Owner == Resources.Context.Config.Vm)
      Resources.Owned.cancel(Cancel.Id);
    else
      Resources.Remote.cancel(*Resources.View, Cancel.Owner, Cancel.Id);
  }
  void operator()(FinishQuery &Finish) const {
    Driver.m_Result = std::move(Finish.Result);
    Driver.m_Timer.cancel();
  }
};

QueryDriver::QueryDriver(Query Asked, QueryDriverResources Resources)
    : m_Resources(std::move(Resources)),
      m_OwnerTimeout(ownerTimeout(*m_Resources.Service, Asked.Class)),
      m_Run(std::move(Asked),
            {.Pinner = m_Resources.Service->pinner(),
             .Routes = m_Resources.Routes,
             .Budget = m_Resources.Service->coordinatorBudget(),
             .Ids = m_Resources.Context.Ids},
            {.OwnerTimeout = m_OwnerTimeout}),
      m_Timer(m_Resources.Context.Io) {}

asio::awaitable<QueryResult> QueryDriver::run() {
  std::shared_ptr<QueryDriver> Self = shared_from_this();
  perform(m_Run.start(monotonicNow()));
  while (!m_Result) {
    std::optional<TimePoint> Wake = m_Run.nextWake();
    m_Timer.expires_at(Wake.value_or(TimePoint::max()));
    boost::system::error_code Cancelled;
    co_await m_Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Cancelled));
    if (!m_Result)
      perform(m_Run.tick(monotonicNow()));
  }
  co_return std::move(*m_Result);
}

void QueryDriver::perform(QueryActions Actions) {
  for (QueryAction &Action : Actions)
    std::visit(ActionVisitor{*this}, Action);
  flushRemote();
}

void QueryDriver::sendLocal(Subrequest Request) {
  SubrequestId Id = Request.Id;
  ShardId Shard = Request.Shard;
  // The outcome is posted, because a queue may complete immediately, while the
  // actions of this step are still being executed.
  m_Resources.Owned.enqueue(std::move(Request), [Self = shared_from_this(), Id,
                                                 Shard](SubOutcome Outcome) {
    asio::post(Self->m_Timer.get_executor(),
               [Self, Id, Shard, Outcome = std::move(Outcome)]() mutable {
                 Self->onOutcome(Id, Shard, std::move(Outcome));
               });
  });
}

void QueryDriver::flushRemote() {
  auto Outgoing = std::exchange(m_Outgoing, {});
  for (auto &[Owner, Batch] : Outgoing) {
    std::map<SubrequestId, ShardId> Shards;
    for (const Subrequest &Request : Batch)
      Shards.emplace(Request.Id, Request.Shard);
    m_Resources.Remote.run(
        *m_Resources.View, Owner, Batch,
        {.OnOutcome =
             [Self = shared_from_this(), Shards](SubrequestId Id,
                                                 SubOutcome Outcome) {
               auto Shard = Shards.find(Id);
               if (Shard != Shards.end())
                 Self->onOutcome(Id, Shard->second, std::move(Outcome));
             },
         .OnLost =
             [Self = shared_from_this()](SubrequestId Id,
                                         bool MayHaveBeenSent) {
               Self->onOwnerLost(Id, MayHaveBeenSent);
             }});
  }
}

void QueryDriver::onOutcome(SubrequestId Id, ShardId Shard,
                            SubOutcome Outcome) {
  perform(
      m_Run.onEnded({.Id = Id, .Shard = Shard, .Outcome = std::move(Outcome)},
                    monotonicNow()));
}

void QueryDriver::onOwnerLost(SubrequestId Id, bool MayHaveBeenSent) {
  perform(m_Run.onOwnerLost(Id, MayHaveBeenSent, monotonicNow()));
}

} // namespace carawaypond::daemon
