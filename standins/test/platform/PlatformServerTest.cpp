#include "platform/PlatformServer.h"

#include "support/IoRunner.h"

#include <boost/asio/detached.hpp>

using namespace carawaypond;
using namespace carawaypond::standins;
namespace asio = boost::asio;

namespace {

struct Platform {
  asio::io_context Io{1};
  PlatformServer Server{Io, {}, 1};

  Platform() { REQUIRE(Server.start()); }

  auto send(std::string Method, std::string Target, std::string Body = {},
            std::string IfMatch = {}) {
    std::string IfNoneMatch = IfMatch.empty() && Method == "PUT" ? "*" : "";
    return call({.Server = "127.0.0.1:" + std::to_string(Server.port()),
                 .Method = std::move(Method),
                 .Target = std::move(Target),
                 .IfMatch = std::move(IfMatch),
                 .IfNoneMatch = std::move(IfNoneMatch),
                 .Body = std::move(Body),
                 .Timeout = TestDeadline});
  }
};

const std::string ServiceA = "/v1/objects/service/a";

} // namespace

TEST_CASE("a write whose answer is lost has taken effect") {
  Platform P;
  runTest(P.Io, [&]() -> asio::awaitable<void> {
    co_await P.send("POST", "/control", R"({"lose_answer_after_write":1})");
    Result<HttpAnswer> Lost = co_await P.send("PUT", ServiceA, R"({"n":1})");
    REQUIRE(!Lost);
    CHECK(Lost.error().Code == ErrorCode::ConnectionLost);
    Result<HttpAnswer> Read = co_await P.send("GET", ServiceA);
    CHECK(bodyOf(Read)["value"]["n"] == 1);
    Result<HttpAnswer> Again = co_await P.send("PUT", ServiceA, "{}");
    CHECK(Again.value().Status == 412);
    CHECK(bodyOf(Again)["version"] == 1);
  });
}

TEST_CASE("a watch returns when an object changes") {
  Platform P;
  bool Answered = false;
  auto Watch = [&]() -> asio::awaitable<void> {
    Result<HttpAnswer> Seen =
        co_await P.send("GET", "/v1/watch/service?after=0&timeout_ms=60000");
    CHECK(bodyOf(Seen)["revision"] == 1);
    CHECK(bodyOf(Seen)["objects"][0]["name"] == "a");
    Answered = true;
  };
  runTest(P.Io, [&]() -> asio::awaitable<void> {
    asio::co_spawn(P.Io, Watch, asio::detached);
    nlohmann::json Counts;
    do
      Counts = bodyOf(co_await P.send("GET", "/control/counts"));
    while (Counts["watching"] != 1);
    co_await P.send("PUT", ServiceA, "{}");
    co_await until([&] { return Answered; });
    Counts = bodyOf(co_await P.send("GET", "/control/counts"));
    CHECK(Counts["watching"] == 0);
    CHECK(Counts["calls"]["service"]["WATCH"] == 1);
    CHECK(Counts["total"] == 2);
  });
}

TEST_CASE(
    "a watch without changes times out, one after the last revision gets 410") {
  Platform P;
  runTest(P.Io, [&]() -> asio::awaitable<void> {
    Result<HttpAnswer> Empty =
        co_await P.send("GET", "/v1/watch/service?after=0&timeout_ms=1");
    CHECK(bodyOf(Empty)["objects"].empty());
    Result<HttpAnswer> Gone =
        co_await P.send("GET", "/v1/watch/service?after=7&timeout_ms=1");
    CHECK(Gone.value().Status == 410);
  });
}

TEST_CASE("an outage closes connections, also those of waiting watches") {
  Platform P;
  bool Lost = false;
  auto Watch = [&]() -> asio::awaitable<void> {
    Result<HttpAnswer> Seen =
        co_await P.send("GET", "/v1/watch/service?after=0&timeout_ms=60000");
    Lost = !Seen;
  };
  runTest(P.Io, [&]() -> asio::awaitable<void> {
    asio::co_spawn(P.Io, Watch, asio::detached);
    nlohmann::json Counts;
    do
      Counts = bodyOf(co_await P.send("GET", "/control/counts"));
    while (Counts["watching"] != 1);
    co_await P.send("POST", "/control", R"({"down":true})");
    co_await until([&] { return Lost; });
    CHECK_FALSE(co_await P.send("GET", "/v1/vms"));
    co_await P.send("POST", "/control", R"({"down":false})");
    CHECK(co_await P.send("GET", "/v1/vms"));
  });
}

TEST_CASE("a write needs a condition") {
  Platform P;
  runTest(P.Io, [&]() -> asio::awaitable<void> {
    Result<HttpAnswer> Answer = co_await P.send("PUT", ServiceA, "{}", "1");
    CHECK(Answer.value().Status == 400);
  });
}
