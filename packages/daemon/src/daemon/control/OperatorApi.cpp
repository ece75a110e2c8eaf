#include "daemon/control/OperatorApi.h"

#include "coordination/configuration/RolloutStatus.h"
#include "coordination/configuration/SubmissionPlan.h"
#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds SubmissionTimeout{8000};
constexpr Milliseconds ReadTimeout{2000};
constexpr std::uint64_t MaxU64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t MaxSubmissionId = 64;

http::Response json(unsigned Status, const nlohmann::json &Body) {
  return {.Status = Status,
          .Body = Body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

http::Response refusal(unsigned Status, std::string_view Outcome,
                       std::string_view Reason, const std::string &Message) {
  return json(Status,
              {{"outcome", Outcome}, {"reason", Reason}, {"message", Message}});
}

http::Response notFound(const std::string &Message) {
  return refusal(404, "not_found", "not_found", Message);
}

http::Response invalid(const std::string &Message) {
  return refusal(422, "invalid", "invalid", Message);
}

bool isIdChar(unsigned char C) {
  return std::isalnum(C) || C == '.' || C == '_' || C == '-';
}

bool isSubmissionId(const std::string &Id) {
  return !Id.empty() && Id.size() <= MaxSubmissionId &&
         std::all_of(Id.begin(), Id.end(), isIdChar);
}

std::optional<std::uint64_t> numberParameter(const http::Request &Request,
                                             std::string_view Name) {
  std::string Text = Request.queryParameter(Name).value_or("");
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

/// @return The last segment of @p Path if it directly follows @p Prefix.
std::optional<std::string> nameAfter(std::string_view Prefix,
                                     const std::string &Path) {
  if (!Path.starts_with(Prefix) || Path.size() == Prefix.size())
    return std::nullopt;
  std::string Name = Path.substr(Prefix.size());
  if (Name.find('/') != std::string::npos)
    return std::nullopt;
  return Name;
}

/// @brief Converts the outcome of a submission to the operator's response.
struct OutcomeVisitor {
  const std::string &Service;
  const std::string &Id;
  unsigned AcceptedStatus;

  http::Response operator()(const SubmissionAccepted &Accepted) const {
    return json(AcceptedStatus, {{"outcome", "accepted"},
                                 {"service", Service},
                                 {"submission", Id},
                                 {"version", Accepted.Version.value()}});
  }
  http::Response operator()(const SubmissionStale &Stale) const {
    return json(409, {{"outcome", "stale"},
                      {"reason", "stale"},
                      {"service", Service},
                      {"submission", Id},
                      {"version", Stale.Current.value()},
                      {"message", "service \"" + Service + "\" has version " +
                                      std::to_string(Stale.Current.value())}});
  }
  http::Response operator()(const SubmissionInvalid &Invalid) const {
    return invalid(Invalid.Message);
  }
  http::Response operator()(const SubmissionNotFound &) const {
    return notFound("service \"" + Service + "\" does not exist");
  }
  http::Response operator()(const SubmissionUnknown &Unknown) const {
    return refusal(504, "unknown", "unknown", Unknown.Message);
  }
};

nlohmann::json toJsonRow(const StoredService &Stored) {
  return {{"service", Stored.Content.Name.value()},
          {"version", Stored.Version.value()},
          {"content", toJson(Stored.Content)}};
}

} // namespace

OperatorApi::OperatorApi(ControlState &State, SubmissionRunner &Submissions,
                         const Metrics &Collected, OperatorHandlers Handlers)
    : m_State(State), m_Submissions(Submissions), m_Collected(Collected),
      m_Handlers(std::move(Handlers)), m_Views(State) {}

OperatorApi::Answer OperatorApi::handle(http::Request Request) {
  const std::string &Method = Request.Method;
  const std::string &Path = Request.Path;
  if (Method == "POST" && Path == "/v1/services")
    co_return co_await create(std::move(Request));
  if (Method == "POST" && Path == "/v1/stop")
    co_return json(202, {{"outcome", "stopping"},
                         {"longest_ms", m_Handlers.OnStop().count()}});
  if (std::optional<std::string> Name = nameAfter("/v1/services/", Path)) {
    if (Method == "PATCH")
      co_return co_await change(std::move(Request), *Name);
    if (Method == "DELETE")
      co_return co_await remove(std::move(Request), *Name);
  }
  if (Method != "GET")
    co_return refusal(405, "not_run", "method",
                      Method + " " + Path + " is not a call of this port");
  if (std::optional<std::string> Id = nameAfter("/v1/submissions/", Path))
    co_return co_await findSubmitted(std::move(Request), *Id);
  if (std::optional<std::string> Name = nameAfter("/v1/force/", Path))
    co_return co_await rolloutStatus(std::move(Request), *Name);
  co_return handleGet(Request);
}

http::Response OperatorApi::handleGet(const http::Request &Request) const {
  const std::string &Path = Request.Path;
  std::string Service = Request.queryParameter("service").value_or("");
  if (Path == "/v1/live")
    return json(200, m_Views.live());
  if (Path == "/v1/services")
    return services();
  if (std::optional<std::string> Name = nameAfter("/v1/services/", Path))
    return service(*Name);
  if (Path == "/v1/vms")
    return json(200, m_Views.vms());
  if (Path == "/v1/backends")
    return json(200, m_Views.backends(Service));
  if (Path == "/v1/drains")
    return json(200, m_Views.drains());
  if (Path == "/v1/coverage")
    return json(200, m_Collected.coverage());
  if (Path == "/v1/histograms")
    return json(200, m_Collected.histograms());
  if (Path == "/metrics")
    return {.Status = 200,
            .ContentType = "text/plain; version=0.0.4",
            .Body = m_Collected.prometheusText()};
  if (Path != "/v1/ownership")
    return notFound("no such call: " + Path);
  nlohmann::json Owners = m_Views.ownership(Service);
  if (Owners.is_null())
    return notFound("service \"" + Service + "\" or its index is not known");
  return json(200, Owners);
}

http::Response OperatorApi::service(const std::string &Name) const {
  ConfigRegistry::Entry Stored = m_State.Core.configs().find(ServiceName(Name));
  if (!Stored || Stored->Deleted)
    return notFound("service \"" + Name + "\" does not exist");
  return json(200, toJsonRow(*Stored));
}

http::Response OperatorApi::services() const {
  nlohmann::json Rows = nlohmann::json::array();
  for (const ConfigRegistry::Entry &Stored : m_State.Core.configs().services())
    Rows.push_back(toJsonRow(*Stored));
  return json(200, {{"services", std::move(Rows)}});
}

OperatorApi::Answer OperatorApi::create(http::Request Request) {
  nlohmann::json Body = parseJsonText(Request.Body);
  JsonReader Reader(Body, "");
  Reader.allowOnly({"submission", "content"});
  std::string Id = Reader.string("submission", 1, MaxSubmissionId);
  if (!isSubmissionId(Id))
    Reader.fail("submission", "may hold only letters, digits, '.', '_', '-'");
  const nlohmann::json &Content = Reader.object("content");
  if (Reader.error())
    co_return invalid(Reader.error()->Message);
  Result<ServiceConfig> Config = parseServiceConfig(Content);
  if (!Config)
    co_return invalid("/content" + Config.error().Message);
  Submission Wanted{.Id = SubmissionId(Id),
                    .Service = Config.value().Name,
                    .Change = CreateService{.ContentJson = Content.dump()}};
  co_return co_await submit(std::move(Wanted), 201);
}

OperatorApi::Answer OperatorApi::change(http::Request Request,
                                        std::string Name) {
  nlohmann::json Body = parseJsonText(Request.Body);
  JsonReader Reader(Body, "");
  Reader.allowOnly({"submission", "version", "patch"});
  std::string Id = Reader.string("submission", 1, MaxSubmissionId);
  if (!isSubmissionId(Id))
    Reader.fail("submission", "may hold only letters, digits, '.', '_', '-'");
  std::uint64_t Version = Reader.integer("version", 1, MaxU64);
  const nlohmann::json &Patch = Reader.object("patch");
  if (Reader.error())
    co_return invalid(Reader.error()->Message);
  Submission Wanted{.Id = SubmissionId(Id),
                    .Service = ServiceName(Name),
                    .Change = PatchService{.Version = ConfigVersion(Version),
                                           .PatchJson = Patch.dump()}};
  co_return co_await submit(std::move(Wanted), 200);
}

OperatorApi::Answer OperatorApi::remove(http::Request Request,
                                        std::string Name) {
  std::optional<std::uint64_t> Version = numberParameter(Request, "version");
  std::string Id = Request.queryParameter("submission").value_or("");
  if (!Version || !isSubmissionId(Id))
    co_return invalid("?version=N&submission=ID are needed");
  Submission Wanted{.Id = SubmissionId(Id),
                    .Service = ServiceName(Name),
                    .Change =
                        DeleteService{.Version = ConfigVersion(*Version)}};
  co_return co_await submit(std::move(Wanted), 200);
}

OperatorApi::Answer OperatorApi::submit(Submission Wanted,
                                        unsigned AcceptedStatus) {
  TimePoint Now = monotonicNow();
  if (!m_State.Core.maySubmit(Now))
    co_return refusal(503, "not_run", "not_current",
                      "this VM hears too few others to take a change; ask "
                      "another one");
  std::string Service = Wanted.Service.value();
  std::string Id = Wanted.Id.value();
  SubmissionOutcome Outcome =
      co_await m_Submissions.run(std::move(Wanted), Now + SubmissionTimeout);
  co_return std::visit(OutcomeVisitor{Service, Id, AcceptedStatus}, Outcome);
}

OperatorApi::Answer OperatorApi::findSubmitted(http::Request Request,
                                               std::string Id) {
  std::string Service = Request.queryParameter("service").value_or("");
  if (Service.empty() || !isSubmissionId(Id))
    co_return invalid("?service=NAME and a submission's id are needed");
  auto Found = co_await m_Submissions.read(ServiceName(Service),
                                           monotonicNow() + ReadTimeout);
  if (!Found)
    co_return refusal(504, "unknown", "unknown",
                      "the store did not answer: " + Found.error().Message);
  if (!Found.value())
    co_return refusal(200, "unknown", "unknown",
                      "service \"" + Service + "\" does not exist yet");
  const StoredService &Stored = Found.value()->Value;
  if (auto Version = findSubmission(Stored, SubmissionId(Id)))
    co_return json(200, {{"outcome", "accepted"},
                         {"service", Service},
                         {"submission", Id},
                         {"version", Version->value()}});
  // A write whose base version is older than the stored version can no longer
  // take effect. If it did take effect, it is in the submission history, unless
  // it is older than the history reaches.
  std::optional<std::uint64_t> Base = numberParameter(Request, "version");
  bool IsPassed = Base && Stored.Version.value() > *Base;
  bool IsCovered =
      IsPassed && Stored.Version.value() - *Base < MaxSubmissionHistory;
  if (!IsCovered)
    co_return refusal(200, "unknown", "unknown",
                      "the submission has not taken effect yet");
  co_return json(200, {{"outcome", "refused"},
                       {"service", Service},
                       {"submission", Id},
                       {"version", Stored.Version.value()}});
}

OperatorApi::Answer OperatorApi::rolloutStatus(http::Request Request,
                                               std::string Name) {
  std::optional<std::uint64_t> Version = numberParameter(Request, "version");
  if (!Version)
    co_return invalid("?version=N is needed");
  RolloutStatus Check = co_await m_Handlers.CheckRollout(
      ServiceName(Name), ConfigVersion(*Version));
  nlohmann::json Waiting = nlohmann::json::array();
  for (const VmName &Vm : Check.waiting())
    Waiting.push_back(Vm.value());
  co_return json(200, {{"service", Name},
                       {"version", *Version},
                       {"in_force", Check.inForce()},
                       {"vms", Check.vms()},
                       {"waiting", std::move(Waiting)}});
}

} // namespace carawaypond::daemon
