#include "backends/server/ControlServer.h"

#include "backends/server/IndexChange.h"
#include "backends/server/ServerAction.h"
#include "common/Replies.h"
#include "common/UrlQuery.h"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t DefaultLogLimit = 10'000; // entries

/// Whether @p Body lacks @p Key or has @p Value for it.
bool agrees(const nlohmann::json &Body, const char *Key,
            const std::string &Value) {
  return !Body.contains(Key) || Body[Key] == Value;
}

bool hasTarget(const nlohmann::json &Body) {
  return Body.contains("server") || Body.contains("service") ||
         Body.contains("shape") || Body.contains("data_centre") ||
         Body.contains("all");
}

nlohmann::json toJson(const BackendServer &Server) {
  const ServerStats &Stats = Server.stats();
  return {{"server", Server.name().value()},
          {"data_centre", Server.centre().value()},
          {"running", Server.running()},
          {"max_running", Stats.MaxRunning},
          {"max_queued", Stats.MaxQueued},
          {"connections", Server.http().connections()},
          {"max_connections", Server.http().maxConnections()},
          {"accepted_connections", Server.http().acceptedConnections()},
          {"refused_connections", Server.http().refusedConnections()},
          {"received", Stats.Received},
          {"started", Stats.Started},
          {"finished", Stats.Finished},
          {"refused", Stats.Refused},
          {"shed", Stats.Shed},
          {"cancelled", Stats.Cancelled},
          {"leaving_since_us", Stats.LeavingSince},
          {"received_after_leaving", Stats.ReceivedAfterLeaving},
          {"last_received_after_leaving_us", Stats.LastReceivedAfterLeaving}};
}

} // namespace

ControlServer::ControlServer(boost::asio::io_context &Io,
                             HttpServerOptions Options, Fleet &Controlled)
    : m_Fleet(Controlled),
      m_Http(Io, std::move(Options),
             [this](HttpRequest Request,
                    CallWatch &) -> boost::asio::awaitable<HttpReply> {
               co_return handle(Request);
             }) {}

HttpReply ControlServer::handle(const HttpRequest &Request) {
  UrlQuery Query(Request.Query);
  if (Request.Method == "POST" && Request.Path == "/control")
    return control(Request);
  if (Request.Path == "/control/log")
    return {.Body = m_Fleet.log().entriesAfter(
                Query.integerOr("after", 0),
                Query.integerOr("limit", DefaultLogLimit))};
  if (Request.Path == "/control/runs")
    return jsonReply(200,
                     m_Fleet.log().runsOf(Query.find("token").value_or("")));
  if (Request.Path == "/control/stats")
    return stats();
  if (Request.Path == "/control/indexes")
    return indexes();
  return errorReply(404, "not_found", Request.Path + " does not exist");
}

HttpReply ControlServer::control(const HttpRequest &Request) {
  auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !hasTarget(Body))
    return errorReply(422, "invalid",
                      "/: must be an object with server, service, shape, "
                      "data_centre or all");
  Targets Servers = select(Body);
  if (Servers.empty())
    return errorReply(404, "not_found", "no server agrees with the target");
  Result<void> Done = success();
  if (Body.contains("faults"))
    Done = applyFaults(Servers, Body["faults"]);
  if (Done && Body.contains("action"))
    Done = act(Servers, Body);
  if (Done && Body.contains("index"))
    Done = changeIndexes(Servers, Body["index"]);
  if (!Done)
    return invalidReply(Done.error());
  return jsonReply(200, {{"servers", Servers.size()}});
}

ControlServer::Targets ControlServer::select(const nlohmann::json &Body) const {
  Targets Selected;
  for (const std::unique_ptr<BackendServer> &Server : m_Fleet.servers()) {
    bool Agrees = agrees(Body, "server", Server->name().value()) &&
                  agrees(Body, "service", Server->service().name()) &&
                  agrees(Body, "shape", Server->service().Shape.Name) &&
                  agrees(Body, "data_centre", Server->centre().value());
    if (Agrees)
      Selected.push_back(Server.get());
  }
  return Selected;
}

Result<void> ControlServer::applyFaults(const Targets &Servers,
                                        const nlohmann::json &Body) {
  for (BackendServer *Server : Servers) {
    Result<ServerFaults> Faults = withFaults(Server->faults(), Body);
    if (!Faults)
      return boost::outcome_v2::failure(Faults.error());
    Server->setFaults(Faults.value());
  }
  return success();
}

Result<void> ControlServer::act(const Targets &Servers,
                                const nlohmann::json &Body) {
  Result<ServerAction> Action = parseServerAction(Body);
  if (!Action)
    return boost::outcome_v2::failure(Action.error());
  for (BackendServer *Server : Servers) {
    Result<void> Done = perform(Action.value(), *Server, m_Fleet);
    if (!Done)
      return Done;
  }
  return success();
}

Result<void> ControlServer::changeIndexes(const Targets &Servers,
                                          const nlohmann::json &Body) {
  Result<IndexChange> Change = parseIndexChange(Body);
  if (!Change)
    return boost::outcome_v2::failure(Change.error());
  std::set<ServiceRuntime *> Services;
  for (BackendServer *Server : Servers)
    Services.insert(&Server->service());
  for (ServiceRuntime *Service : Services)
    apply(Change.value(), *Service, m_Fleet);
  return success();
}

HttpReply ControlServer::stats() const {
  nlohmann::json All = nlohmann::json::array();
  for (const std::unique_ptr<BackendServer> &Server : m_Fleet.servers())
    All.push_back(toJson(*Server));
  return jsonReply(200, {{"servers", std::move(All)}});
}

HttpReply ControlServer::indexes() const {
  nlohmann::json All = nlohmann::json::array();
  for (const ServiceRuntime *Service : m_Fleet.services())
    All.push_back(
        {{"name", Service->name()},
         {"newest", Service->Timeline.newest().value()},
         {"layout",
          Service->Timeline.layoutOf(Service->Timeline.newest())->Layout},
         {"last_layout", Service->Timeline.index().Layouts.back().Layout}});
  return jsonReply(200, {{"indexes", std::move(All)}});
}

} // namespace carawaypond::standins
