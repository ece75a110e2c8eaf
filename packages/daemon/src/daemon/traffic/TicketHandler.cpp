#include "daemon/traffic/TicketHandler.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"
#include "coordination/ticket/Ticket.h"
#include "daemon/traffic/QueryResponse.h"
#include "peer/node/PeerNode.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <random>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds TicketValidity{60'000};
constexpr Milliseconds OutcomeRecheck{5};
/// How long a repeated request waits for the outcome if it has no deadline.
constexpr Milliseconds DefaultWait{1'000};
/// Added to a request's deadline when waiting for another VM's answer.
constexpr Milliseconds ForwardGrace{200};

std::uint64_t randomSecret() {
  std::random_device Random;
  return (std::uint64_t{Random()} << 32U) | Random();
}

} // namespace

TicketHandler::TicketHandler(TrafficContext &Context, QueryRunner &Queries)
    : m_Context(Context), m_Queries(Queries),
      m_Book({.Self = Context.Config.Vm,
              .IncarnationNumber = Context.IncarnationNumber,
              .Secret = randomSecret(),
              .Validity = TicketValidity}) {}

http::Response TicketHandler::issue(const std::string &Body) {
  nlohmann::json Value = parseJsonText(Body);
  JsonReader Reader(Value, "");
  Reader.allowOnly({"service"});
  ServiceName Service(Reader.string("service", 1, 64));
  if (Reader.error())
    return notRun(400, "malformed", Reader.error()->Message);
  std::shared_ptr<const ControlView> View = m_Context.Views.current();
  if (!View->Services.contains(Service))
    return notRun(404, "not_found",
                  "service \"" + Service.value() + "\" does not exist");
  if (!View->IssuesTickets)
    return notRun(503, "leaving", "this VM gives out no tickets now");
  Result<Ticket> Issued = m_Book.issue(Service, monotonicNow());
  if (!Issued)
    return notRun(503, "overloaded", Issued.error().Message);
  m_Context.Collected.count("tickets_issued_total");
  nlohmann::json Answer = {{"ticket", toString(Issued.value())},
                           {"valid_ms", TicketValidity.count()}};
  return {.Status = 200, .Body = Answer.dump()};
}

TicketDecision TicketHandler::begin(const Ticket &Given,
                                    const ServiceName &Service) {
  std::shared_ptr<const ControlView> View = m_Context.Views.current();
  const VmView *Vm = View->findVm(Given.Vm);
  std::optional<Incarnation> Holder;
  if (Vm)
    Holder = Vm->IncarnationNumber;
  if (Given.Vm == m_Context.Config.Vm)
    Holder = m_Context.IncarnationNumber;
  return m_Book.begin(Given, Service, Holder, monotonicNow());
}

asio::awaitable<http::Response> TicketHandler::run(QueryRequest Request,
                                                   std::string Body,
                                                   TimePoint ArrivedAt) {
  Result<Ticket> Given = parseTicket(Request.Ticket);
  if (!Given)
    co_return notRun(400, "malformed", Given.error().Message);
  TicketDecision Verdict = begin(Given.value(), Request.Service);
  if (std::holds_alternative<RunTicket>(Verdict))
    co_return co_await runOnce(Given.value(), std::move(Request), ArrivedAt);
  if (auto *Replay = std::get_if<ReplayOutcome>(&Verdict)) {
    m_Context.Collected.count("ticket_replays_total");
    co_return unpackResponse(*Replay->Outcome);
  }
  if (std::holds_alternative<AwaitOutcome>(Verdict))
    co_return co_await awaitOutcome(Given.value(), std::move(Request),
                                    ArrivedAt);
  if (auto *To = std::get_if<ForwardTicket>(&Verdict))
    co_return co_await forward(*To, Request, std::move(Body), ArrivedAt);
  if (auto *Refused = std::get_if<TicketRefused>(&Verdict))
    co_return notRun(400, "ticket", Refused->Reason);
  m_Context.Collected.count("ticket_unknown_total");
  co_return unknown("ticket", std::get<TicketUnknown>(Verdict).Reason);
}

asio::awaitable<http::Response> TicketHandler::runOnce(Ticket Given,
                                                       QueryRequest Request,
                                                       TimePoint ArrivedAt) {
  http::Response Response =
      co_await m_Queries.run(std::move(Request), ArrivedAt);
  m_Book.complete(Given,
                  std::make_shared<const std::string>(packResponse(Response)),
                  monotonicNow());
  co_return Response;
}

asio::awaitable<http::Response>
TicketHandler::awaitOutcome(Ticket Given, QueryRequest Request,
                            TimePoint ArrivedAt) {
  TimePoint Deadline = ArrivedAt + Request.Deadline.value_or(DefaultWait);
  asio::steady_timer Timer(m_Context.Io);
  while (monotonicNow() < Deadline) {
    Timer.expires_after(OutcomeRecheck);
    co_await Timer.async_wait(asio::use_awaitable);
    TicketDecision Verdict = begin(Given, Request.Service);
    if (auto *Replay = std::get_if<ReplayOutcome>(&Verdict))
      co_return unpackResponse(*Replay->Outcome);
    if (!std::holds_alternative<AwaitOutcome>(Verdict))
      break;
  }
  co_return unknown("in_progress", "the request has not ended yet");
}

asio::awaitable<http::Response>
TicketHandler::forward(const ForwardTicket &To, const QueryRequest &Request,
                       std::string Body, TimePoint ArrivedAt) {
  std::shared_ptr<const ControlView> View = m_Context.Views.current();
  const VmView *Vm = View->findVm(To.Vm);
  if (!Vm || !m_Node)
    co_return unknown("ticket", "the VM \"" + To.Vm.value() +
                                    "\" that gave the ticket out is not known");
  Milliseconds Wait = Request.Deadline.value_or(DefaultWait);
  WallMillis Deadline = toWall(ArrivedAt + Wait, monotonicNow(), wallNow());
  auto Answer =
      std::make_shared<std::optional<Result<peer::PeerQueryAnswer>>>();
  auto Timer = std::make_shared<asio::steady_timer>(m_Context.Io);
  Timer->expires_at(TimePoint::max());
  m_Context.Collected.count("tickets_forwarded_total");
  m_Node->query(
      Vm->PeerAddress, To.IncarnationNumber,
      {.Ticket = Request.Ticket, .Deadline = Deadline, .Body = std::move(Body)},
      [this, Answer, Timer](const Result<peer::PeerQueryAnswer> &Got) {
        asio::post(m_Context.Io, [Answer, Timer, Got] {
          *Answer = Got;
          Timer->cancel();
        });
      },
      Wait + ForwardGrace);
  boost::system::error_code Cancelled;
  while (!*Answer)
    co_await Timer->async_wait(
        asio::redirect_error(asio::use_awaitable, Cancelled));
  // An earlier request with the same ticket may have run there, so the outcome
  // is "unknown" even if this call was never sent.
  if (!**Answer)
    co_return unknown("ticket", (*Answer)->error().Message);
  const peer::PeerQueryAnswer &Got = (*Answer)->value();
  co_return http::Response{.Status = Got.Status, .Body = Got.Body};
}

asio::awaitable<void>
TicketHandler::serve(peer::PeerQuery Query,
                     peer::Reply<peer::PeerQueryAnswer> Answer) {
  TimePoint Now = monotonicNow();
  Result<QueryRequest> Request = parseQueryRequest(Query.Body);
  if (!Request) {
    Answer(failure(ErrorCode::Malformed, Request.error().Message));
    co_return;
  }
  QueryRequest Asked = Request.value();
  Asked.Deadline = std::chrono::ceil<Milliseconds>(
      toMonotonic(Query.Deadline, Now, wallNow()) - Now);
  http::Response Response = co_await run(std::move(Asked), "", Now);
  Answer(peer::PeerQueryAnswer{.Status =
                                   static_cast<std::uint16_t>(Response.Status),
                               .Body = Response.Body});
}

} // namespace carawaypond::daemon
