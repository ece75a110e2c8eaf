#include "backend/pool/ServerPool.h"
#include "http/Listener.h"
#include "http/Message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace carawaypond;
using namespace carawaypond::backend;

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds Patience{60};

/// A backend server whose responses the test controls.
struct Fixture {
  asio::io_context Io;
  std::unique_ptr<http::Listener> Listener;
  int Searches = 0;
  int Cancels = 0;
  Milliseconds Delay{0};
  std::string IdSuffix; ///< Makes responses name another subrequest.
  int ExtraCount = 0;   ///< Added to the stated number of records.

  Fixture() {
    auto Opened = http::Listener::open(Io, {}, [this](http::Request Asked) {
      return serve(std::move(Asked));
    });
    REQUIRE(Opened);
    Listener = std::move(Opened.value());
  }

  asio::awaitable<http::Response> serve(http::Request Asked) {
    nlohmann::json Body = nlohmann::json::parse(Asked.Body);
    if (Asked.Path == "/v1/cancel") {
      ++Cancels;
      co_return http::Response{.Status = 200,
                               .Body = R"({"state": "not_started"})"};
    }
    ++Searches;
    asio::steady_timer Timer(Io, Delay);
    co_await Timer.async_wait(asio::use_awaitable);
    nlohmann::json Answer = {{"id", Body["id"].get<std::string>() + IdSuffix},
                             {"service", Body["service"]},
                             {"shard", Body["shard"]},
                             {"version", Body["version"]},
                             {"layout", Body["layout"]},
                             {"ran", true},
                             {"count", 1 + ExtraCount},
                             {"records", {{{"id", "C-1"}}}}};
    co_return http::Response{.Status = 200, .Body = Answer.dump()};
  }

  ServerPool pool(std::size_t Max) {
    return {Io.get_executor(),
            {.Server = ServerName("s-1"),
             .Address = Listener->address(),
             .MaxConnections = Max}};
  }

  static SearchRequest request(std::string Id, Duration Left) {
    return {.Id = std::move(Id),
            .Service = ServiceName("claims"),
            .Shard = ShardId(2),
            .Version = IndexVersion(7),
            .Layout = 1,
            .WallDeadline = wallNow(),
            .Deadline = monotonicNow() + Left,
            .Repeatable = true,
            .Request = "{}"};
  }

  template <typename ValueType> ValueType run(asio::awaitable<ValueType> Call) {
    std::optional<ValueType> Got;
    asio::co_spawn(Io, std::move(Call),
                   [&](const std::exception_ptr &, ValueType Value) {
                     Got = std::move(Value);
                   });
    auto End = std::chrono::steady_clock::now() + Patience;
    Io.restart();
    while (!Got && std::chrono::steady_clock::now() < End)
      Io.run_one_until(End);
    REQUIRE(Got);
    return std::move(*Got);
  }
};

template <typename Kind> bool is(const SearchOutcome &Outcome) {
  return std::holds_alternative<Kind>(Outcome);
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a connection is reused, also for a cancellation") {
  ServerPool Pool = pool(1);
  CHECK(is<SearchAnswer>(run(Pool.search(request("a", Patience)))));
  CHECK(run(Pool.cancel("a", monotonicNow() + Patience)));
  CHECK(is<SearchAnswer>(run(Pool.search(request("b", Patience)))));
  CHECK(Pool.stats().Opened == 1);
  CHECK(Cancels == 1);
}

TEST_CASE_FIXTURE(Fixture, "nothing is sent beyond the limit on connections") {
  ServerPool Pool = pool(1);
  Delay = Milliseconds(100);
  std::optional<SearchOutcome> First;
  asio::co_spawn(Io, Pool.search(request("a", Patience)),
                 [&](const std::exception_ptr &, SearchOutcome Got) {
                   First = std::move(Got);
                 });
  CHECK(is<SearchNotSent>(run(Pool.search(request("b", Patience)))));
  CHECK(Pool.stats().Exhausted == 1);
  auto End = std::chrono::steady_clock::now() + Patience;
  while (!First && std::chrono::steady_clock::now() < End)
    Io.run_one_until(End);
  REQUIRE(First);
  CHECK(is<SearchAnswer>(*First));
  CHECK(Searches == 1);
  CHECK(Pool.stats().Open == 1);
}

TEST_CASE_FIXTURE(Fixture, "the permission to send is checked once connected") {
  ServerPool Pool = pool(1);
  int Asked = 0;
  auto Deny = [&] {
    ++Asked;
    CHECK(Pool.stats().Open == 1);
    return false;
  };
  CHECK(is<SearchNotSent>(run(Pool.search(request("a", Patience), Deny))));
  CHECK(Asked == 1);
  CHECK(Searches == 0);
  auto Allow = [] { return true; };
  CHECK(is<SearchAnswer>(run(Pool.search(request("b", Patience), Allow))));
  CHECK(Pool.stats().Opened == 1);
}

TEST_CASE_FIXTURE(
    Fixture, "a late response is in doubt and not taken for the next one") {
  ServerPool Pool = pool(1);
  Delay = Milliseconds(200);
  CHECK(is<SearchInDoubt>(run(Pool.search(request("a", Milliseconds(20))))));
  CHECK(Pool.stats().Open == 0);
  Delay = Milliseconds(0);
  CHECK(is<SearchAnswer>(run(Pool.search(request("b", Patience)))));
  CHECK(Pool.stats().Opened == 2);
}

TEST_CASE_FIXTURE(
    Fixture,
    "a truncated response, or one for another subrequest, is in doubt") {
  ServerPool Pool = pool(1);
  IdSuffix = "-other";
  CHECK(is<SearchInDoubt>(run(Pool.search(request("a", Patience)))));
  IdSuffix.clear();
  ExtraCount = 1;
  CHECK(is<SearchInDoubt>(run(Pool.search(request("b", Patience)))));
}

TEST_CASE_FIXTURE(Fixture, "nothing is sent to an address without a listener") {
  ServerPool Pool = pool(1);
  Listener->stopAccepting();
  CHECK(is<SearchNotSent>(run(Pool.search(request("a", Patience)))));
  CHECK(Pool.stats().Open == 0);
}
