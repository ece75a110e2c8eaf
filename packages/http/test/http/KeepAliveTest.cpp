#include "Loop.h"
#include "Raw.h"

#include "http/http.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

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

TEST_CASE("requests that arrive in two parts keep their connection") {
  constexpr int Requests = 500;
  Loop Io;
  auto Server = Listener::open(Io.context(), {.Address = "127.0.0.1:0"}, echo);
  REQUIRE(Server);
  std::string Address = Server.value()->address();
  std::atomic<int> Answered = 0;
  std::atomic<bool> Ended = false;
  std::jthread Caller([&] {
    boost::asio::io_context Own;
    boost::asio::ip::tcp::socket Wire(Own);
    Wire.connect(parseEndpoint(Address).value());
    Wire.set_option(boost::asio::ip::tcp::no_delay(true));
    boost::system::error_code Failed;
    std::string Read;
    for (int I = 0; I < Requests && !Failed; ++I) {
      std::string Head = "POST /v1/query HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: 4\r\n\r\n";
      boost::asio::write(Wire, boost::asio::buffer(Head), Failed);
      boost::asio::write(Wire, boost::asio::buffer("body", 4), Failed);
      std::size_t Size = boost::asio::read_until(
          Wire, boost::asio::dynamic_buffer(Read), " body", Failed);
      Read.erase(0, Size);
      Answered += Failed ? 0 : 1;
    }
    Ended = true;
  });
  bool Done = Io.run([&]() -> awaitable<void> {
    boost::asio::steady_timer Timer(Io.context());
    while (!Ended) {
      Timer.expires_after(Milliseconds(5));
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
  });
  CHECK(Done);
  CHECK(Answered == Requests);
}
