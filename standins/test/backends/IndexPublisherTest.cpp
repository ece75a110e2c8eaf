#include "backends/server/IndexPublisher.h"

#include "platform/PlatformServer.h"
#include "support/IoRunner.h"
#include "support/Plans.h"

#include <boost/asio/detached.hpp>

using namespace carawaypond;
using namespace carawaypond::standins;
namespace asio = boost::asio;

namespace {

struct PublisherTest {
  asio::io_context Io{1};
  PlatformServer Platform{Io, {}, 1};
  IndexTimeline Timeline{smallPlan().Index, SmallVersions};

  PublisherTest() { REQUIRE(Platform.start()); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Platform.port());
  }

  auto post(std::string Body) {
    return call({.Server = address(),
                 .Method = "POST",
                 .Target = "/control",
                 .Body = std::move(Body),
                 .Timeout = TestDeadline});
  }

  auto read() {
    return call({.Server = address(),
                 .Target = "/v1/objects/index/claims",
                 .Timeout = TestDeadline});
  }
};

} // namespace

TEST_CASE("a publication is retried after an outage and a lost answer") {
  PublisherTest T;
  IndexPublisher Publisher(T.address());
  bool Done = false;
  auto Publish = [&]() -> asio::awaitable<void> {
    co_await Publisher.publish(T.Timeline);
    Done = true;
  };
  runTest(T.Io, [&]() -> asio::awaitable<void> {
    std::uint64_t Layout = T.Timeline.repartition(3, 2, 1);
    co_await T.post(R"({"down":true,"lose_answer_after_write":1})");
    asio::co_spawn(T.Io, Publish, asio::detached);
    CHECK_FALSE(co_await T.read());
    CHECK_FALSE(T.Timeline.advance());
    co_await T.post(R"({"down":false})");
    co_await until([&] { return Done; });
    nlohmann::json Object = bodyOf(co_await T.read());
    CHECK(Object["version"] == 1);
    CHECK(Object["value"]["layouts"].back()["layout"] == Layout);
    CHECK(T.Timeline.advance());
  });
}

TEST_CASE("concurrent publications end with the latest index") {
  PublisherTest T;
  IndexPublisher Publisher(T.address());
  int Done = 0;
  auto Publish = [&]() -> asio::awaitable<void> {
    co_await Publisher.publish(T.Timeline);
    ++Done;
  };
  runTest(T.Io, [&]() -> asio::awaitable<void> {
    constexpr int Publications = 6;
    for (int I = 0; I < Publications; ++I) {
      T.Timeline.repartition(3, 2, 1);
      asio::co_spawn(T.Io, Publish, asio::detached);
      co_await sleepFor(PollPause);
    }
    co_await until([&] { return Done == Publications; });
    nlohmann::json Object = bodyOf(co_await T.read());
    CHECK(Object["value"] == toJson(T.Timeline.index()));
  });
}
