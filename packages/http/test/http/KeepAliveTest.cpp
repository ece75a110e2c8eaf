#include "Loop.h"
#include "Raw.h"

#include "http/http.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::http;
using boost::asio::awaitable;

namespace {

awaitable<Response> echo(Request Asked) {
  Response Answer;
  Answer.Body =
      Asked.Method + " " + Asked.Path + " " + Asked.Query + " " + Asked.Body;
  co_return Answer;
}

} // namespace

TEST_CASE("one connection carries many requests") {
  Loop Io;
  auto Server = Listener::open(Io.context(), {.Address = "127.0.0.1:0"}, echo);
  REQUIRE(Server);
  bool Done = Io.run([&]() -> awaitable<void> {
    Connection Wire(Io.context().get_executor(), Server.value()->address());
    auto Connected = co_await Wire.connect(soon());
    CHECK(Connected);
    for (int I = 0; I < 5; ++I) {
      Request Asked;
      Asked.Method = "POST";
      Asked.Path = "/v1/query";
      Asked.Query = "n=" + std::to_string(I);
      Asked.Body = "body";
      auto Answer = co_await Wire.roundTrip(std::move(Asked), soon());
      REQUIRE(Answer);
      CHECK(Answer.value().Body ==
            "POST /v1/query n=" + std::to_string(I) + " body");
    }
    CHECK(Wire.isOpen());
  });
  CHECK(Done);
  CHECK(Server.value()->stats().Accepted == 1);
  CHECK(Server.value()->stats().Requests == 5);
}
