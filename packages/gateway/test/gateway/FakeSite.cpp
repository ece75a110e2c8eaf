#include "gateway/FakeSite.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <future>

namespace carawaypond::gateway {

using boost::asio::awaitable;
using nlohmann::json;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr const char *AnyPort = "127.0.0.1:0";
/// Longer than it takes to close the connections of a replica that has ended.
constexpr Milliseconds AnswerAfterEnd{1'000};

} // namespace

FakeSite::FakeSite() : m_Work(m_Context.get_executor()) {
  m_Thread = std::thread([this] { m_Context.run(); });
  addStoreEndpoint();
}

FakeSite::~FakeSite() {
  m_Context.stop();
  m_Thread.join();
}

adapter::SiteSettings FakeSite::settings(const std::string &Vm) const {
  adapter::SiteSettings Settings;
  Settings.Vm = VmName(Vm);
  Settings.Centre = DataCentre("umea-a");
  Settings.Ip = "127.0.0.1";
  Settings.CallerAddress = AnyPort;
  Settings.ReadyAddress = AnyPort;
  Settings.PeerAddress = AnyPort;
  Settings.DirectoryAddress = AnyPort;
  Settings.StoreAddress = m_StoreEndpoints.front()->Listener->address();
  Settings.MaxDescriptors = 1'000;
  Settings.MemoryBytes = std::size_t{256} << 20;
  Settings.GracePeriod = Milliseconds(6'000);
  Settings.ReplicaHeartbeat = Milliseconds(1'200);
  Settings.DrainBound = Milliseconds(3'000);
  Settings.ConfigBound = Milliseconds(3'000);
  Settings.MaxAddressLifetime = Milliseconds(5'000);
  Settings.Budget = {.Ratio = 0.2, .Slack = 56};
  return Settings;
}

adapter::SiteSettings
FakeSite::settingsWithRetries(const std::string &Vm) const {
  adapter::SiteSettings Settings = settings(Vm);
  Settings.Budget.Slack = 10'000;
  return Settings;
}

std::unique_ptr<http::Listener> FakeSite::listen(http::Handler Answer) {
  std::promise<std::unique_ptr<http::Listener>> Listening;
  boost::asio::post(m_Context, [&] {
    auto Opened = http::Listener::open(m_Context, {.Address = AnyPort},
                                       std::move(Answer));
    Listening.set_value(std::move(Opened.value()));
  });
  return Listening.get_future().get();
}

FakeSite::StoreEndpoint &FakeSite::addStoreEndpoint() {
  StoreEndpoint &Added =
      *m_StoreEndpoints.emplace_back(std::make_unique<StoreEndpoint>());
  Added.Listener = listen([this, &Added](http::Request Asked) {
    ++Added.Calls;
    return serve(std::move(Asked), Added);
  });
  return Added;
}

void FakeSite::setStoreDown(bool IsDown) {
  for (const auto &Each : m_StoreEndpoints)
    Each->State = IsDown ? EndpointState::Refusing : EndpointState::Open;
}

void FakeSite::takeCopy() {
  std::lock_guard Locked(m_Mutex);
  m_Copy = m_Objects;
  m_CopyRevision = m_Revision;
}

void FakeSite::restoreCopy(std::uint64_t GivenOut) {
  std::lock_guard Locked(m_Mutex);
  m_Objects = m_Copy;
  m_Revision = m_CopyRevision + GivenOut;
  ++m_Era;
}

void FakeSite::setHoldsWrites(bool Holds) {
  for (const auto &Each : m_StoreEndpoints)
    Each->State = Holds ? EndpointState::HoldingWrites : EndpointState::Open;
}

void FakeSite::putEntry(const Replica &Of, const char *State, int Sequence,
                        const char *Centre, Milliseconds WarmupLeft) {
  put("servers", Of.Id,
      {{"Service", Of.Service},
       {"Address", Of.Address},
       {"Zone", Centre},
       {"Version", "v1"},
       {"Slots", 2},
       {"State", State},
       {"WarmupLeftMs", WarmupLeft.count()},
       {"Sequence", Sequence}});
}

FakeSite::Replica &FakeSite::addReplica(const std::string &Service) {
  auto Made = std::make_unique<Replica>();
  Replica &Added = *Made;
  Added.Id = "i-" + std::to_string(m_Replicas.size());
  Added.Service = Service;
  Added.Listener =
      listen([this, &Added](http::Request Asked) -> awaitable<http::Response> {
        ++Added.Arrivals;
        Added.LastArrival = monotonicNow();
        http::Response Answer = Added.Answer(Asked);
        if (Added.HasEnded) {
          boost::asio::steady_timer NoAnswer(m_Context, AnswerAfterEnd);
          co_await NoAnswer.async_wait(AsTuple);
        }
        co_return Answer;
      });
  Added.Address = Added.Listener->address();
  Added.Answer = [&Added](const http::Request &Asked) {
    http::Response Answer;
    Answer.ContentType = "";
    Answer.Headers = {
        {.Name = "X-Request-Id", .Value = *Asked.header("X-Request-Id")},
        {.Name = "X-Server-Stamp", .Value = "stamp-" + Added.Id}};
    Answer.Body = std::string(16, 'a') + std::string(16, Added.Id.back());
    return Answer;
  };
  m_Replicas.push_back(std::move(Made));
  putEntry(Added, "ready", 1);
  return Added;
}

void FakeSite::end(Replica &Ended) {
  Ended.HasEnded = true;
  // Not within the call of its handler.
  boost::asio::post(m_Context, [&Ended] { Ended.Listener.reset(); });
}

void FakeSite::put(const std::string &Kind, const std::string &Name,
                   json Content) {
  std::lock_guard Locked(m_Mutex);
  std::uint64_t Revision = ++m_Revision;
  json Object;
  Object["meta"] = {{"Name", Name}, {"Rev", Revision}};
  Object["spec"] = std::move(Content);
  m_Objects[Kind][Name] = {.Object = std::move(Object), .Revision = Revision};
}

void FakeSite::remove(const std::string &Kind, const std::string &Name) {
  std::lock_guard Locked(m_Mutex);
  Stored &Removed = m_Objects[Kind][Name];
  Removed.IsDeleted = true;
  Removed.Revision = ++m_Revision;
}

void FakeSite::putConfig(int Version, json Routes) {
  json Config;
  Config["Version"] = Version;
  Config["Routes"] = std::move(Routes);
  Config["Services"] = json::array();
  for (const auto &Each : m_Replicas)
    Config["Services"].push_back({{"Name", "s" + Each->Id}, {"MaxConns", 26}});
  put("config", "main", std::move(Config));
}

json FakeSite::get(const std::string &Kind, const std::string &Name) {
  std::lock_guard Locked(m_Mutex);
  auto Found = m_Objects[Kind].find(Name);
  bool IsThere = Found != m_Objects[Kind].end() && !Found->second.IsDeleted;
  return IsThere ? Found->second.Object : json();
}

http::Response FakeSite::write(const http::Request &Asked,
                               const std::string &Kind) {
  json Object = json::parse(Asked.Body);
  std::string Name = Object["meta"]["Name"];
  json Before = get(Kind, Name);
  http::Response Answer;
  bool IsTaken = Asked.Method == "POST" && !Before.is_null();
  bool HasChanged =
      Object["meta"].contains("Rev") &&
      (Before.is_null() || Before["meta"]["Rev"] != Object["meta"]["Rev"]);
  if (IsTaken || HasChanged) {
    Answer.Status = 409;
    Answer.Body = Before.dump();
    return Answer;
  }
  put(Kind, Name, Object["spec"]);
  Answer.Body = get(Kind, Name).dump();
  return Answer;
}

json FakeSite::list(const std::string &Kind) {
  std::lock_guard Locked(m_Mutex);
  json Page = {{"items", json::array()}, {"HasMore", false}};
  for (const auto &[Name, Each] : m_Objects[Kind])
    if (!Each.IsDeleted)
      Page["items"].push_back(Each.Object);
  Page["AsOf"] = m_Revision;
  return Page;
}

json FakeSite::changes(const std::string &Kind, std::uint64_t Since) {
  std::lock_guard Locked(m_Mutex);
  json Told = {{"events", json::array()}, {"AsOf", m_Revision}};
  for (const auto &[Name, Each] : m_Objects[Kind])
    if (Each.Revision > Since)
      Told["events"].push_back(
          {{"Object", Each.Object}, {"Deleted", Each.IsDeleted}});
  return Told;
}

awaitable<void> FakeSite::awaitOpen(const StoreEndpoint &At, bool IsWrite) {
  boost::asio::steady_timer Pause(m_Context);
  while (At.State == EndpointState::Silent ||
         (IsWrite && At.State == EndpointState::HoldingWrites)) {
    Pause.expires_after(Milliseconds(5));
    co_await Pause.async_wait(AsTuple);
  }
}

awaitable<http::Response> FakeSite::serve(http::Request Asked,
                                          const StoreEndpoint &At) {
  http::Response Answer = co_await execute(std::move(Asked), At);
  Answer.Headers.push_back(
      {.Name = "Store-Era", .Value = std::to_string(m_Era)});
  co_return Answer;
}

awaitable<http::Response> FakeSite::execute(http::Request Asked,
                                            const StoreEndpoint &At) {
  http::Response Answer;
  bool IsWrite = Asked.Method == "POST" || Asked.Method == "PUT";
  co_await awaitOpen(At, IsWrite);
  if (At.State == EndpointState::Refusing) {
    Answer.Status = 503;
    co_return Answer;
  }
  std::string Rest = Asked.Path.substr(std::string("/objects/").size());
  std::string Kind = Rest.substr(0, Rest.find('/'));
  if (IsWrite)
    co_return write(Asked, Kind);
  if (Asked.Method == "DELETE") {
    std::string Name = Rest.substr(Rest.find('/') + 1);
    json Before = get(Kind, Name);
    auto Revision = Asked.queryParameter("Rev");
    if (Revision && !Before.is_null() &&
        Before["meta"]["Rev"] != std::stoull(*Revision)) {
      Answer.Status = 409;
      Answer.Body = Before.dump();
      co_return Answer;
    }
    remove(Kind, Name);
    Answer.Body = "{}";
    co_return Answer;
  }
  auto Since = Asked.queryParameter("Watch");
  if (Rest.find('/') != std::string::npos) {
    json Object = get(Kind, Rest.substr(Rest.find('/') + 1));
    Answer.Status = Object.is_null() ? 404 : 200;
    Answer.Body = Object.dump();
    co_return Answer;
  }
  if (!Since) {
    Answer.Body = list(Kind).dump();
    co_return Answer;
  }
  co_return co_await watch(std::move(Asked), std::move(Kind), At);
}

awaitable<http::Response> FakeSite::watch(http::Request Asked, std::string Kind,
                                          const StoreEndpoint &At) {
  http::Response Answer;
  std::uint64_t Since = std::stoull(*Asked.queryParameter("Watch"));
  std::uint64_t Era = m_Era;
  TimePoint Deadline =
      monotonicNow() +
      Milliseconds(std::stoi(Asked.queryParameter("WaitMs").value_or("0")));
  json Told = changes(Kind, Since);
  boost::asio::steady_timer Pause(m_Context);
  auto IsServing = [&At] {
    return At.State == EndpointState::Open ||
           At.State == EndpointState::HoldingWrites;
  };
  while (Told["events"].empty() && monotonicNow() < Deadline && IsServing() &&
         m_Era == Era) {
    Pause.expires_after(Milliseconds(5));
    co_await Pause.async_wait(AsTuple);
    Told = changes(Kind, Since);
  }
  co_await awaitOpen(At);
  bool IsCut = m_Era != Era;
  bool IsUnknown = Told["AsOf"].get<std::uint64_t>() < Since;
  Answer.Status = IsCut ? 503 : IsUnknown ? 410 : 200;
  if (Answer.Status == 200)
    Answer.Body = Told.dump();
  co_return Answer;
}

} // namespace carawaypond::gateway
