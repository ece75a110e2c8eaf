#include "backends/server/BackendServer.h"

#include "backends/server/SearchReplies.h"
#include "common/Replies.h"
#include "common/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace carawaypond::standins {

namespace asio = boost::asio;

namespace {

/// Update interval of the load in /health.
constexpr Milliseconds HealthLag{1000};

std::int64_t wallMicros() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Microseconds>(Since).count();
}

HttpServerOptions listenerOptions(const ServiceShape &Shape) {
  return {.MaxConnections = Shape.Connections,
          .ConnectionCost = Shape.ConnectionCost};
}

} // namespace

/// Why a waiting coroutine resumes.
enum class BackendServer::Wake { Timer, Started, Expired, Cancelled };

/// A subrequest that waits for its slot or runs.
struct BackendServer::ActiveRun {
  ActiveRun(BackendServer &Server, const std::string &Id)
      : Of(Server), Key(Id), Timer(Server.m_Io) {
    Of.m_Active[Key] = this;
  }
  ~ActiveRun() { Of.m_Active.erase(Key); }
  ActiveRun(const ActiveRun &) = delete;
  ActiveRun &operator=(const ActiveRun &) = delete;

  /// Suspends until woken or until @p Until.
  asio::awaitable<Wake> wait(TimePoint Until) {
    Why = Wake::Timer;
    Timer.expires_at(Until);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    co_return Why;
  }

  BackendServer &Of;
  const std::string &Key;
  asio::steady_timer Timer;
  Wake Why = Wake::Timer;
};

BackendServer::BackendServer(asio::io_context &Io, ServiceRuntime &Service,
                             const ServerInfo &Info, RunLog &Log,
                             std::uint64_t Seed)
    : m_Io(Io), m_Service(Service), m_Log(Log), m_Name(Info.Name),
      m_Centre(Info.Centre), m_Random(Seed),
      m_Window(Info.Name, Service.Timeline),
      m_Queue({.Slots = Service.Shape.Slots,
               .QueueLimit = Service.Shape.QueueLimit}),
      m_ServiceTime(Service.Shape.ServiceTime, Seed + 1),
      m_Http(Io, listenerOptions(Service.Shape),
             [this](HttpRequest Request, CallWatch &Watch) {
               return handle(std::move(Request), Watch);
             }) {}

std::string BackendServer::address() const {
  return "127.0.0.1:" + std::to_string(m_Http.port());
}

Result<void> BackendServer::start() {
  m_StartedAt = monotonicNow();
  return m_Http.start();
}

void BackendServer::stop() {
  m_Http.stop();
  for (auto &[Id, Run] : m_Active) {
    Run->Why = Wake::Cancelled;
    Run->Timer.cancel();
  }
}

void BackendServer::drain(Duration Grace) {
  m_Drain.begin(monotonicNow(), Grace);
  markLeaving();
}

void BackendServer::endDrain() {
  m_Drain.end();
  m_Stats.LeavingSince = 0;
}

void BackendServer::markLeaving() {
  if (m_Stats.LeavingSince == 0)
    m_Stats.LeavingSince = wallMicros();
}

void BackendServer::catchUpWithIndex() {
  std::uint64_t MaxLag = m_Service.Timeline.options().MaxLag;
  m_Window.follow(m_Random() % (MaxLag + 1));
}

BackendServer::Reply BackendServer::handle(HttpRequest Request,
                                           CallWatch &Watch) {
  if (m_Faults.Delay > Duration::zero())
    co_await sleepFor(m_Faults.Delay);
  if (m_Faults.Stall)
    co_return HttpReply{.How = Delivery::Withheld};
  HttpReply Answer = co_await route(Request, Watch);
  Answer.Draining = m_Drain.draining();
  Duration Late = m_Faults.Delay;
  if (m_Faults.Reorder > Duration::zero())
    Late += Milliseconds(m_Random() % (m_Faults.Reorder.count() + 1));
  if (Late > Duration::zero())
    co_await sleepFor(Late);
  co_return Answer;
}

BackendServer::Reply BackendServer::route(const HttpRequest &Request,
                                          CallWatch &Watch) {
  if (Request.Method == "POST" && Request.Path == "/v1/search")
    co_return co_await search(Request, Watch);
  if (Request.Method == "POST" && Request.Path == "/v1/cancel")
    co_return cancel(Request);
  if (Request.Method == "GET" && Request.Path == "/v1/status")
    co_return statusReply(m_Name, m_Service.name(), m_Window,
                          m_Drain.draining());
  if (Request.Method == "GET" && Request.Path == "/health")
    co_return health();
  co_return errorReply(404, "not_found", Request.Path + " does not exist");
}

BackendServer::Reply BackendServer::search(const HttpRequest &Http,
                                           CallWatch &Watch) {
  Result<SearchRequest> Parsed = parseSearchRequest(Http.Body);
  if (!Parsed)
    co_return malformedReply(Parsed.error());
  const SearchRequest &Request = Parsed.value();
  countReceived();
  log(Request, RunEvent::Received);
  if (std::optional<Refusal> Why = refusalOnArrival(Request))
    co_return refuse(Request, *Why);
  if (m_Active.contains(Request.Id))
    co_return ranReply(Request.Id, "failed", 500);
  ActiveRun Run(*this, Request.Id);
  if (std::optional<HttpReply> Early = co_await admit(Request, Run, Watch))
    co_return *Early;
  if (std::optional<Refusal> Why = versionRefusal(Request)) {
    release(Request.Id);
    co_return refuse(Request, *Why);
  }
  co_return co_await runAndAnswer(Request, Run);
}

asio::awaitable<std::optional<HttpReply>>
BackendServer::admit(const SearchRequest &Request, ActiveRun &Run,
                     CallWatch &Watch) {
  std::optional<Refusal> Why;
  switch (m_Queue.submit(Request.Id, Request.Deadline, wallNow())) {
  case Admission::Started:
    break;
  case Admission::Queued:
    Why = co_await waitForSlot(Request, Run, Watch);
    break;
  case Admission::Shed:
    ++m_Stats.Shed;
    Why = ShedRefusal;
    break;
  case Admission::Expired:
    Why = DeadlineRefusal;
    break;
  case Admission::Cancelled:
    Why = CancelledRefusal;
    break;
  case Admission::Repeated:
    co_return ranReply(Request.Id, "failed", 500);
  }
  if (!Why)
    co_return std::nullopt;
  co_return refuse(Request, *Why);
}

asio::awaitable<std::optional<Refusal>>
BackendServer::waitForSlot(const SearchRequest &Request, ActiveRun &Run,
                           CallWatch &Watch) {
  m_Stats.MaxQueued = std::max(m_Stats.MaxQueued, m_Queue.queued());
  Watch.onClose([this, &Run] {
    if (m_Queue.cancel(Run.Key) == CancelState::NotStarted)
      wake(Run.Key, Wake::Cancelled);
  });
  TimePoint Deadline = toMonotonic(Request.Deadline, monotonicNow(), wallNow());
  Wake Why = co_await Run.wait(Deadline);
  Watch.reset();
  if (Why == Wake::Started)
    co_return std::nullopt;
  // A cancellation may come between the wake-up for a slot and this line.
  if (m_Queue.cancel(Request.Id) == CancelState::Running)
    release(Request.Id);
  if (Why == Wake::Cancelled)
    co_return CancelledRefusal;
  co_return DeadlineRefusal;
}

BackendServer::Reply BackendServer::runAndAnswer(const SearchRequest &Request,
                                                 ActiveRun &Run) {
  ++m_Stats.Started;
  m_Stats.MaxRunning = std::max(m_Stats.MaxRunning, m_Queue.running());
  log(Request, RunEvent::Started);
  TimePoint Now = monotonicNow();
  Duration Time = m_ServiceTime.draw(Now - m_StartedAt, m_Faults.Slow);
  Wake Ended = co_await Run.wait(Now + Time);
  bool Finished = Ended == Wake::Timer;
  log(Request, Finished ? RunEvent::Finished : RunEvent::Cancelled);
  m_Stats.Finished += Finished ? 1 : 0;
  release(Request.Id);
  if (!Finished)
    co_return ranReply(Request.Id, "cancelled", 499);
  co_return answer(Request);
}

std::optional<Refusal>
BackendServer::refusalOnArrival(const SearchRequest &Request) {
  TimePoint Now = monotonicNow();
  if (m_Drain.refuses(Now))
    return DrainingRefusal;
  if (Now - m_StartedAt < m_Faults.ColdFor)
    return ColdRefusal;
  if (Request.Deadline <= wallNow())
    return DeadlineRefusal;
  if (happens(m_Faults.ShedRatio)) {
    ++m_Stats.Shed;
    return ShedRefusal;
  }
  return versionRefusal(Request);
}

std::optional<Refusal>
BackendServer::versionRefusal(const SearchRequest &Request) const {
  if (Request.Service != m_Service.name())
    return ShardUnknownRefusal;
  return m_Window.refusalOf(Request.Shard, Request.Layout, Request.Version);
}

HttpReply BackendServer::refuse(const SearchRequest &Request,
                                const Refusal &Why) {
  ++m_Stats.Refused;
  log(Request, RunEvent::Refused, Why.Reason);
  return refusedReply(Request.Id, Why, m_Window);
}

HttpReply BackendServer::answer(const SearchRequest &Request) {
  if (happens(m_Faults.DropAfterRunRatio))
    return {.How = Delivery::Dropped};
  if (happens(m_Faults.FailRatio))
    return ranReply(Request.Id, "failed", 500);
  if (happens(m_Faults.GarbageRatio))
    return {.Body = R"({"id":)"};
  HttpReply Answer =
      recordsReply(Request, find(Request), m_Window, m_Drain.draining());
  if (happens(m_Faults.TruncateRatio))
    Answer.How = Delivery::Truncated;
  if (m_Faults.StaleAnswerRatio > 0)
    replaceWithStaleAnswer(Answer);
  return Answer;
}

void BackendServer::replaceWithStaleAnswer(HttpReply &Answer) {
  std::string Own = Answer.Body;
  if (happens(m_Faults.StaleAnswerRatio) && !m_LastAnswer.empty())
    Answer.Body = m_LastAnswer;
  m_LastAnswer = std::move(Own);
}

RecordSet BackendServer::find(const SearchRequest &Request) const {
  const IndexLayout *Layout =
      m_Service.Timeline.index().findLayout(Request.Layout);
  if (!Layout)
    return {};
  return m_Service.Records.search(
      {.Field = Request.MatchField,
       .Value = Request.MatchValue,
       .EchoToken = Request.EchoToken,
       .Shard = Request.Shard.value(),
       .ShardCount = static_cast<std::uint32_t>(Layout->Shards.size()),
       .Layout = Request.Layout,
       .Version = Request.Version.value()});
}

HttpReply BackendServer::cancel(const HttpRequest &Request) {
  auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("id") || !Body["id"].is_string())
    return errorReply(400, "malformed", "/id: is missing; a string is needed");
  auto Id = Body["id"].get<std::string>();
  CancelState State = m_Queue.cancel(Id);
  if (State == CancelState::NotStarted || State == CancelState::Running) {
    ++m_Stats.Cancelled;
    wake(Id, Wake::Cancelled);
  }
  return cancelReply(State);
}

HttpReply BackendServer::health() {
  TimePoint Now = monotonicNow();
  if (Now - m_LoadReportedAt >= HealthLag) {
    double Slots = m_Service.Shape.Slots;
    m_ReportedLoad = static_cast<double>(m_Queue.running()) / Slots;
    m_LoadReportedAt = Now;
  }
  bool Healthy = m_Faults.HealthOverride.value_or(!m_Drain.refuses(Now));
  double Load = m_Faults.HealthOverride ? 0 : m_ReportedLoad;
  return jsonReply(200, {{"healthy", Healthy}, {"load", Load}});
}

void BackendServer::release(const std::string &Id) {
  for (const NextRun &Next : m_Queue.finish(Id, wallNow()))
    wake(Next.Id, Next.Expired ? Wake::Expired : Wake::Started);
}

void BackendServer::wake(const std::string &Id, Wake Why) {
  auto Found = m_Active.find(Id);
  if (Found == m_Active.end())
    return;
  Found->second->Why = Why;
  Found->second->Timer.cancel();
}

void BackendServer::log(const SearchRequest &Request, RunEvent Event,
                        std::string_view Reason) {
  m_Log.add({.Id = Request.Id,
             .Token = Request.EchoToken,
             .Service = m_Service.name(),
             .Server = m_Name.value(),
             .Reason = Reason,
             .Version = Request.Version.value(),
             .WallMicros = wallMicros(),
             .Shard = Request.Shard.value(),
             .Event = Event});
}

void BackendServer::countReceived() {
  ++m_Stats.Received;
  if (m_Stats.LeavingSince == 0)
    return;
  ++m_Stats.ReceivedAfterLeaving;
  m_Stats.LastReceivedAfterLeaving = wallMicros();
}

bool BackendServer::happens(double Ratio) {
  if (Ratio <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Ratio;
}

} // namespace carawaypond::standins
