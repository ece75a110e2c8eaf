#include "daemon/traffic/CallerApi.h"

#include "daemon/traffic/QueryResponse.h"

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

/// @return The value of the counters' outcome label for a response.
std::string outcomeLabel(const http::Response &Response) {
  if (Response.Status == 504)
    return "unknown";
  if (Response.Status != 200)
    return "not_run";
  // The records are at the end of the body and may contain any text, so they
  // are not searched.
  std::string_view Head(Response.Body);
  Head = Head.substr(0, Head.find("\"records\":["));
  bool IsPartial =
      Head.find("\"outcome\":\"partial\"") != std::string_view::npos;
  return IsPartial ? "partial" : "complete";
}

http::Response wrongMethod(const http::Request &Request,
                           std::string_view Allowed) {
  return notRun(405, "method", Request.Path + " takes " + std::string(Allowed));
}

} // namespace

CallerApi::CallerApi(TrafficContext &Context, QueryRunner &Queries,
                     TicketHandler &Tickets, AddressSource Addresses)
    : m_Context(Context), m_Queries(Queries), m_Tickets(Tickets),
      m_Addresses(std::move(Addresses)) {}

asio::awaitable<http::Response> CallerApi::handle(http::Request Request) {
  if (Request.Path == "/v1/query") {
    if (Request.Method != "POST")
      co_return wrongMethod(Request, "POST");
    co_return co_await query(std::move(Request));
  }
  if (Request.Path == "/v1/tickets") {
    if (Request.Method != "POST")
      co_return wrongMethod(Request, "POST");
    co_return m_Tickets.issue(Request.Body);
  }
  if (Request.Path == "/v1/addresses") {
    if (Request.Method != "GET")
      co_return wrongMethod(Request, "GET");
    co_return m_Addresses(Request);
  }
  co_return notRun(404, "not_found", "no such call: " + Request.Path);
}

asio::awaitable<http::Response> CallerApi::query(http::Request Request) {
  TimePoint ArrivedAt = monotonicNow();
  Result<QueryRequest> Parsed = parseQueryRequest(Request.Body);
  http::Response Response;
  if (!Parsed)
    Response = notRun(400, "malformed", Parsed.error().Message);
  else if (Parsed.value().Repeatable)
    Response = co_await m_Queries.run(std::move(Parsed.value()), ArrivedAt);
  else
    Response = co_await m_Tickets.run(std::move(Parsed.value()),
                                      std::move(Request.Body), ArrivedAt);
  count(Response);
  co_return Response;
}

void CallerApi::count(const http::Response &Response) {
  m_Context.Collected.count("queries_total{outcome=\"" +
                            outcomeLabel(Response) + "\"}");
}

} // namespace carawaypond::daemon
