#include "backends/server/BackendServer.h"

#include "support/IoRunner.h"
#include "support/Plans.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <optional>

using namespace carawaypond;
using namespace carawaypond::standins;
namespace asio = boost::asio;

namespace {

constexpr std::int64_t LeftMillis = 60'000;

/// One server of the small plan.
struct OneServer {
  asio::io_context Io{1};
  RunLog Log;
  ServiceRuntime Service;
  BackendServer Server;

  explicit OneServer(Microseconds Median = Microseconds(0))
      : Service(planWith(Median), SmallVersions),
        Server(Io, Service, Service.Timeline.index().Servers.front(), Log, 1) {
    REQUIRE(Server.start());
  }

  static ServicePlan planWith(Microseconds Median) {
    ServicePlan Plan = smallPlan();
    Plan.Shape.ServiceTime.Median = Median;
    return Plan;
  }

  static std::string body(const std::string &Id,
                          std::int64_t Left = LeftMillis) {
    return nlohmann::json{
        {"id", Id},           {"service", "claims"},
        {"shard", 0},         {"version", 10},
        {"layout", 1},        {"deadline_ms", wallNow().Value + Left},
        {"repeatable", true}, {"request", {{"echo", "t-" + Id}}}}
        .dump();
  }

  auto post(std::string Target, std::string Body) {
    return call({.Server = Server.address(),
                 .Method = "POST",
                 .Target = std::move(Target),
                 .Body = std::move(Body),
                 .Timeout = TestDeadline});
  }

  /// Sends a subrequest in the background.
  void send(const std::string &Id, std::optional<Result<HttpAnswer>> &Into) {
    asio::co_spawn(
        Io,
        [this, Id, &Into]() -> asio::awaitable<void> {
          Into = co_await post("/v1/search", body(Id));
        },
        asio::detached);
  }

  asio::awaitable<std::string> cancel(const std::string &Id) {
    std::string Body = nlohmann::json{{"id", Id}}.dump();
    Result<HttpAnswer> Answer = co_await post("/v1/cancel", Body);
    co_return bodyOf(Answer)["state"].get<std::string>();
  }
};

} // namespace

TEST_CASE("a subrequest is answered with its own id, shard and version") {
  OneServer S;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    Result<HttpAnswer> Answer = co_await S.post("/v1/search", S.body("a"));
    nlohmann::json Json = bodyOf(Answer);
    CHECK(Answer.value().Status == 200);
    CHECK(Json["id"] == "a");
    CHECK(Json["ran"] == true);
    CHECK(Json["records"][0]["echo"] == "t-a");
    CHECK(Json["records"][0]["version"] == 10);
    CHECK(S.Log.runsOf("t-a")["runs"] == 1);
  });
}

TEST_CASE("a subrequest past its deadline does not run") {
  OneServer S;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    Result<HttpAnswer> Answer = co_await S.post("/v1/search", S.body("a", -1));
    CHECK(Answer.value().Status == 408);
    CHECK(bodyOf(Answer)["ran"] == false);
    CHECK(S.Log.runsOf("t-a")["runs"] == 0);
  });
}

TEST_CASE("slots, queue, shedding and cancellation") {
  OneServer S(std::chrono::hours(1));
  std::optional<Result<HttpAnswer>> Running;
  std::optional<Result<HttpAnswer>> Queued;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    S.send("a", Running);
    co_await until([&] { return S.Server.stats().Started == 1; });
    S.send("b", Queued);
    co_await until([&] { return S.Server.stats().MaxQueued == 1; });
    Result<HttpAnswer> Shed = co_await S.post("/v1/search", S.body("c"));
    CHECK(bodyOf(Shed)["reason"] == "shed");
    CHECK(bodyOf(Shed)["ran"] == false);

    CHECK(co_await S.cancel("b") == "not_started");
    co_await until([&] { return Queued.has_value(); });
    CHECK(bodyOf(*Queued)["ran"] == false);
    CHECK(co_await S.cancel("a") == "running");
    co_await until([&] { return Running.has_value(); });
    CHECK(bodyOf(*Running)["ran"] == true);
    CHECK(co_await S.cancel("a") == "done");
    CHECK(S.Server.running() == 0);
    CHECK(S.Log.runsOf("t-b")["runs"] == 0);
  });
}

TEST_CASE("a queued subrequest is cancelled when its caller disconnects") {
  OneServer S(std::chrono::hours(1));
  std::optional<Result<HttpAnswer>> Running;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    S.send("a", Running);
    co_await until([&] { return S.Server.stats().Started == 1; });
    asio::ip::tcp::socket Caller(S.Io);
    co_await Caller.async_connect(
        {asio::ip::address_v4::loopback(), S.Server.http().port()},
        asio::use_awaitable);
    std::string Body = S.body("b");
    std::string Request = "POST /v1/search HTTP/1.1\r\nContent-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body;
    co_await asio::async_write(Caller, asio::buffer(Request),
                               asio::use_awaitable);
    co_await until([&] { return S.Server.stats().MaxQueued == 1; });
    Caller.close();
    co_await until([&] { return S.Server.stats().Refused == 1; });
    CHECK(co_await S.cancel("b") == "not_started");
    co_await S.cancel("a");
    co_await until([&] { return S.Server.running() == 0; });
    CHECK(S.Log.runsOf("t-b")["runs"] == 0);
  });
}

TEST_CASE("an answer that is dropped after the run counts as a run") {
  OneServer S;
  ServerFaults Faults;
  Faults.DropAfterRunRatio = 1;
  S.Server.setFaults(Faults);
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    CHECK_FALSE(co_await S.post("/v1/search", S.body("a")));
    CHECK(S.Log.runsOf("t-a")["runs"] == 1);
  });
}

TEST_CASE("connections beyond the limit are closed and counted") {
  OneServer S;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    std::vector<asio::ip::tcp::socket> Held;
    for (int I = 0; I < 4; ++I) {
      Held.emplace_back(S.Io);
      co_await Held.back().async_connect(
          {asio::ip::address_v4::loopback(), S.Server.http().port()},
          asio::use_awaitable);
    }
    co_await until([&] { return S.Server.http().connections() == 4; });
    CHECK_FALSE(co_await S.post("/v1/search", S.body("a")));
    CHECK(S.Server.http().refusedConnections() == 1);
    CHECK(S.Server.http().maxConnections() == 4);
  });
}

TEST_CASE("a drain is reported at once and refuses after its grace period") {
  OneServer S;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    S.Server.drain(std::chrono::hours(1));
    nlohmann::json Served = bodyOf(co_await S.post("/v1/search", S.body("a")));
    CHECK(Served["ran"] == true);
    CHECK(Served["draining"] == true);
    CHECK(S.Server.stats().ReceivedAfterLeaving == 1);
    S.Server.drain(Duration::zero());
    Result<HttpAnswer> Refused = co_await S.post("/v1/search", S.body("b"));
    CHECK(Refused.value().Status == 503);
    CHECK(bodyOf(Refused)["reason"] == "draining");
    CHECK(bodyOf(Refused)["ran"] == false);
  });
}

TEST_CASE("a restarted server listens on the same port") {
  OneServer S;
  runTest(S.Io, [&]() -> asio::awaitable<void> {
    S.Server.stop();
    CHECK_FALSE(co_await S.post("/v1/search", S.body("a")));
    REQUIRE(S.Server.start());
    CHECK(co_await S.post("/v1/search", S.body("b")));
  });
}
