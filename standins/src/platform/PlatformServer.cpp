#include "platform/PlatformServer.h"

#include "common/Overloaded.h"
#include "common/Replies.h"
#include "common/Sleep.h"
#include "common/UrlQuery.h"

#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace carawaypond::standins {

namespace asio = boost::asio;

namespace {

constexpr std::string_view ObjectsPrefix = "/v1/objects/";
constexpr std::string_view WatchPrefix = "/v1/watch/";
constexpr std::string_view VmControlPrefix = "/control/vms/";
constexpr std::uint64_t DefaultWatchMillis = 30'000;
constexpr std::uint64_t MaxWatchMillis = 300'000;

HttpReply notFound(std::string_view Path) {
  return errorReply(404, "not_found",
                    "\"" + std::string(Path) + "\" does not exist");
}

std::string changesText(std::uint64_t Revision,
                        const std::vector<StoredObject> &Objects) {
  std::string Text = R"({"revision":)" + std::to_string(Revision);
  Text += R"(,"objects":[)";
  for (const StoredObject &Object : Objects) {
    if (&Object != Objects.data())
      Text += ',';
    Text += toJsonText(Object);
  }
  Text += "]}";
  return Text;
}

/// Parses a quoted version, such as "17".
std::optional<std::uint64_t> parseVersionTag(std::string_view Tag) {
  if (Tag.size() < 3 || Tag.front() != '"' || Tag.back() != '"')
    return std::nullopt;
  Tag = Tag.substr(1, Tag.size() - 2);
  std::uint64_t Version = 0;
  auto [Stop, Failure] =
      std::from_chars(Tag.data(), Tag.data() + Tag.size(), Version);
  if (Failure != std::errc() || Stop != Tag.data() + Tag.size())
    return std::nullopt;
  return Version;
}

std::optional<WriteCondition> parseCondition(const HttpRequest &Request) {
  if (Request.IfMatch.empty() && Request.IfNoneMatch == "*")
    return MustBeAbsent{};
  if (!Request.IfNoneMatch.empty())
    return std::nullopt;
  std::optional<std::uint64_t> Version = parseVersionTag(Request.IfMatch);
  if (!Version)
    return std::nullopt;
  return MustHaveVersion{.Version = *Version};
}

/// Accepts the value itself or an object whose only key is "value".
std::optional<std::string> parseValue(const std::string &Body) {
  auto Value = nlohmann::json::parse(Body, nullptr, false);
  if (!Value.is_object())
    return std::nullopt;
  bool IsWrapped = Value.size() == 1 && Value.contains("value");
  return IsWrapped ? Value["value"].dump() : Value.dump();
}

HttpReply writeReply(const WriteOutcome &Outcome) {
  return std::visit(
      Overloaded{
          [](const Written &Done) {
            unsigned Status = Done.Object.Version == 1 ? 201 : 200;
            return HttpReply{.Status = Status, .Body = toJsonText(Done.Object)};
          },
          [](const ConditionFailed &Failed) {
            return jsonReply(412, {{"version", Failed.CurrentVersion}});
          },
          [](const ValueTooLarge &) {
            return errorReply(413, "too_large", "a value holds at most 1 MiB");
          }},
      Outcome);
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &Io, HttpServerOptions Options,
                               std::uint64_t Seed)
    : m_Faults(Seed), m_Http(Io, std::move(Options),
                             [this](HttpRequest Request, CallWatch &Watch) {
                               return handle(std::move(Request), Watch);
                             }) {}

PlatformServer::Reply PlatformServer::handle(HttpRequest Request,
                                             CallWatch &Watch) {
  if (Request.Path.starts_with("/control"))
    co_return control(Request);
  if (m_Faults.delay() > Duration::zero())
    co_await sleepFor(m_Faults.delay());
  if (m_Faults.down()) {
    m_Counts.countDropped();
    co_return HttpReply{.How = Delivery::Dropped};
  }
  co_return co_await handlePlatform(Request, Watch);
}

PlatformServer::Reply PlatformServer::handlePlatform(const HttpRequest &Request,
                                                     CallWatch &Watch) {
  std::string_view Path = Request.Path;
  bool IsRead = Request.Method == "GET";
  if (IsRead && Path.starts_with(WatchPrefix))
    co_return co_await watch(std::string(Path.substr(WatchPrefix.size())),
                             Request, Watch);
  if (IsRead && Path.starts_with(ObjectsPrefix))
    co_return listOrGet(Path.substr(ObjectsPrefix.size()));
  if (IsRead && Path == "/v1/vms")
    co_return listVms();
  if (Request.Method == "PUT" && Path.starts_with(ObjectsPrefix))
    co_return put(Path.substr(ObjectsPrefix.size()), Request);
  co_return notFound(Path);
}

PlatformServer::Reply PlatformServer::watch(std::string Kind,
                                            const HttpRequest &Request,
                                            CallWatch &Watch) {
  m_Counts.count(Kind, "WATCH");
  if (m_Faults.shouldRejectRead())
    co_return errorReply(503, "unavailable", "reads are rejected");
  UrlQuery Query(Request.Query);
  std::uint64_t After = Query.integerOr("after", 0);
  if (!m_Store.canWatchAfter(After))
    co_return jsonReply(410, {{"revision", m_Store.revision()}});
  std::uint64_t Wait = Query.integerOr("timeout_ms", DefaultWatchMillis);
  TimePoint Deadline =
      monotonicNow() + Milliseconds(std::min(Wait, MaxWatchMillis));
  Signal::Timer Timer(co_await asio::this_coro::executor);
  Watch.onClose([&Timer] { Timer.cancel(); });
  m_Counts.watchStarted();
  std::vector<StoredObject> Changed = m_Store.changedSince(Kind, After);
  while (Changed.empty() && monotonicNow() < Deadline && !Watch.closed() &&
         !m_Faults.down()) {
    co_await m_Changed[Kind].wait(Timer, Deadline);
    Changed = m_Store.changedSince(Kind, After);
  }
  std::string Text = changesText(m_Store.revision(), Changed);
  if (!Changed.empty() && m_Faults.watchLag() > Duration::zero())
    co_await sleepFor(m_Faults.watchLag());
  m_Counts.watchEnded();
  Watch.reset();
  if (m_Faults.down())
    co_return HttpReply{.How = Delivery::Dropped};
  co_return HttpReply{.Body = std::move(Text)};
}

HttpReply PlatformServer::listOrGet(std::string_view Target) {
  std::size_t Slash = Target.find('/');
  std::string Kind(Target.substr(0, Slash));
  bool IsList = Slash == std::string_view::npos;
  m_Counts.count(Kind, IsList ? "LIST" : "GET");
  if (m_Faults.shouldRejectRead())
    return errorReply(503, "unavailable", "reads are rejected");
  if (IsList)
    return {.Body =
                changesText(m_Store.revision(), m_Store.changedSince(Kind, 0))};
  std::string Name(Target.substr(Slash + 1));
  const StoredObject *Object = m_Store.find(Kind, Name);
  return Object ? HttpReply{.Body = toJsonText(*Object)} : notFound(Target);
}

HttpReply PlatformServer::put(std::string_view Target,
                              const HttpRequest &Request) {
  std::size_t Slash = Target.find('/');
  if (Slash == std::string_view::npos)
    return notFound(Target);
  std::string Kind(Target.substr(0, Slash));
  std::string Name(Target.substr(Slash + 1));
  m_Counts.count(Kind, "PUT");
  if (m_Faults.shouldRejectWrite())
    return errorReply(503, "unavailable", "writes are rejected");
  std::optional<WriteCondition> Condition = parseCondition(Request);
  if (!Condition)
    return errorReply(400, "condition",
                      "If-Match: \"V\" or If-None-Match: * is needed");
  std::optional<std::string> Value = parseValue(Request.Body);
  if (!Value)
    return errorReply(400, "body", "the body is not a JSON object");
  WriteOutcome Outcome =
      m_Store.write(Kind, Name, *Condition, std::move(*Value));
  HttpReply Reply = writeReply(Outcome);
  if (!std::holds_alternative<Written>(Outcome))
    return Reply;
  m_Changed[Kind].notify();
  if (m_Faults.shouldLoseAnswer())
    Reply.How = Delivery::Dropped;
  return Reply;
}

HttpReply PlatformServer::listVms() {
  m_Counts.count("vms", "GET");
  if (m_Faults.shouldRejectRead())
    return errorReply(503, "unavailable", "reads are rejected");
  return jsonReply(200, toJson(m_Vms.published(monotonicNow())));
}

HttpReply PlatformServer::control(const HttpRequest &Request) {
  std::string_view Path = Request.Path;
  if (Request.Method == "GET" && Path == "/control/counts")
    return jsonReply(200, m_Counts.toJson());
  if (Request.Method == "POST" && Path == "/control")
    return applyFaults(Request);
  if (Request.Method == "PUT" && Path == "/control/vms")
    return replaceVms(Request);
  if (Path.starts_with(VmControlPrefix))
    return changeVm(std::string(Path.substr(VmControlPrefix.size())), Request);
  return notFound(Path);
}

HttpReply PlatformServer::applyFaults(const HttpRequest &Request) {
  auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  Result<void> Applied = m_Faults.apply(Body);
  if (!Applied)
    return invalidReply(Applied.error());
  m_Vms.setLag(m_Faults.vmListLag());
  if (Body.value("compact", false))
    m_Store.compact();
  if (m_Faults.down())
    for (auto &[Kind, Changed] : m_Changed)
      Changed.notify();
  return jsonReply(200, nlohmann::json::object());
}

HttpReply PlatformServer::replaceVms(const HttpRequest &Request) {
  auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  Result<VmRegistry::Vms> List = parseVms(Body);
  if (!List)
    return invalidReply(List.error());
  m_Vms.replace(std::move(List.value()), monotonicNow());
  return jsonReply(200, toJson(m_Vms.current()));
}

HttpReply PlatformServer::changeVm(const std::string &Name,
                                   const HttpRequest &Request) {
  TimePoint Now = monotonicNow();
  bool Exists = false;
  if (Request.Method == "DELETE") {
    Exists = m_Vms.remove(Name, Now);
  } else {
    auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
    std::string State = Body.is_object() ? Body.value("state", "") : "";
    if (State != "live" && State != "leaving")
      return errorReply(422, "invalid",
                        "/state: must be \"live\" or \"leaving\"");
    Exists = m_Vms.setLeaving(Name, State == "leaving", Now);
  }
  return Exists ? jsonReply(200, toJson(m_Vms.current())) : notFound(Name);
}

} // namespace carawaypond::standins
