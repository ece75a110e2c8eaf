#include "Loop.h"
#include "Raw.h"

#include "http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::http;
using boost::asio::awaitable;

namespace {

const std::string Complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// @brief A server that sends a fixed text, and a connection to it.
struct Fixture {
  Loop Io;
  RawServer Server{Io.context()};
  Connection Wire{
      Io.context().get_executor(), Server.address(), {.MaxBodyBytes = 100}};

  /// @brief Connects and sends @p Times requests to a server that answers
  /// @p Answers of them with @p Text.
  /// @return The last answer.
  Result<Response> ask(std::string Text, int Answers = 1, int Times = 1,
                       TimePoint Deadline = soon()) {
    boost::asio::co_spawn(Io.context(), Server.serve(Text, Answers),
                          boost::asio::detached);
    Result<Response> Last = failure(ErrorCode::InvalidInput, "not asked");
    bool Done = Io.run([&]() -> awaitable<void> {
      auto Connected = co_await Wire.connect(soon());
      REQUIRE(Connected);
      for (int I = 0; I < Times; ++I) {
        Request Asked;
        Last = co_await Wire.roundTrip(std::move(Asked), Deadline);
      }
    });
    CHECK(Done);
    return Last;
  }

  ErrorCode errorOf(std::string Text, TimePoint Deadline = soon()) {
    Result<Response> Answer = ask(std::move(Text), 1, 1, Deadline);
    REQUIRE(!Answer);
    CHECK(!Wire.isOpen());
    return Answer.error().Code;
  }
};

} // namespace

// The store's or another VM's answer may have 16 MB, in chunks of one byte.
TEST_CASE(
    "a response whose chunks cost more work than they carry is an error") {
  std::string Text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  Fixture F;
  F.Wire = Connection(F.Io.context().get_executor(), F.Server.address());
  SUBCASE("chunks of one byte") {
    for (int I = 0; I < 5'000; ++I)
      Text += "1\r\na\r\n";
    CHECK(F.errorOf(Text + "0\r\n\r\n") == ErrorCode::Malformed);
  }
  SUBCASE("chunks of ten bytes") {
    for (int I = 0; I < 5'000; ++I)
      Text += "a\r\n0123456789\r\n";
    CHECK(F.ask(Text + "0\r\n\r\n"));
  }
}

TEST_CASE("a truncated response is reported as a lost connection") {
  Fixture F;
  CHECK(F.errorOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort") ==
        ErrorCode::ConnectionLost);
  CHECK(F.errorOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "5\r\nshort\r\n") == ErrorCode::ConnectionLost);
  CHECK(F.errorOf("HTTP/1.1 200 OK\r\nCont") == ErrorCode::ConnectionLost);
  CHECK(F.errorOf("") == ErrorCode::ConnectionLost);
}

TEST_CASE("a response without a length is malformed, as it may be truncated") {
  Fixture F;
  CHECK(F.errorOf("HTTP/1.1 200 OK\r\n\r\nmaybe all") == ErrorCode::Malformed);
}

TEST_CASE("invalid HTTP is malformed, an oversized response too large") {
  Fixture F;
  CHECK(F.errorOf("220 mail ready\r\n\r\n") == ErrorCode::Malformed);
  CHECK(F.errorOf("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n") ==
        ErrorCode::TooLarge);
}

TEST_CASE("bytes after a response are not read as the next response") {
  Fixture F;
  Result<Response> Answer = F.ask(Complete + Complete, 2, 2);
  CHECK(!F.Wire.isOpen());
  REQUIRE(!Answer);
  CHECK(Answer.error().Code == ErrorCode::NotConnected);
}

TEST_CASE("an interim response is skipped") {
  Fixture F;
  Result<Response> Answer =
      F.ask("HTTP/1.1 103 Early Hints\r\n\r\n" + Complete);
  REQUIRE(Answer);
  CHECK(Answer.value().Body == "ok");
}

TEST_CASE("a response with a status that is none is no interim response") {
  Fixture F;
  for (std::string Status : {"000 OK", "099 OK", "101 Switching Protocols"})
    CHECK(F.errorOf("HTTP/1.1 " + Status + "\r\nContent-Length: 0\r\n\r\n" +
                        Complete,
                    soon()) == ErrorCode::Malformed);
}

TEST_CASE("a deadline after the request was sent closes the connection") {
  Fixture F;
  RawServer Silent(F.Io.context());
  Connection Wire(F.Io.context().get_executor(), Silent.address());
  bool Done = F.Io.run([&]() -> awaitable<void> {
    auto Connected = co_await Wire.connect(soon());
    REQUIRE(Connected);
    Request Asked;
    TimePoint Deadline = monotonicNow() + Milliseconds(500);
    auto Answer = co_await Wire.roundTrip(std::move(Asked), Deadline);
    REQUIRE(!Answer);
    CHECK(Answer.error().Code == ErrorCode::TimedOut);
    CHECK(!Wire.isOpen());
  });
  CHECK(Done);
}

TEST_CASE("a request whose deadline has passed is not sent") {
  Fixture F;
  CHECK(F.errorOf(Complete, monotonicNow()) == ErrorCode::NotConnected);
}

TEST_CASE("a request on a connection that the server closed is not sent") {
  Fixture F;
  Result<Response> First = F.ask(Complete);
  REQUIRE(First);
  bool Done = F.Io.run([&]() -> awaitable<void> {
    while (F.Wire.isOpen()) {
      boost::asio::steady_timer Pause(F.Io.context(), Milliseconds(1));
      co_await Pause.async_wait(AsTuple);
    }
    Request Asked;
    auto Answer = co_await F.Wire.roundTrip(std::move(Asked), soon());
    REQUIRE(!Answer);
    CHECK(Answer.error().Code == ErrorCode::NotConnected);
  });
  CHECK(Done);
}

TEST_CASE("connecting to a port without a listener gives NotConnected") {
  Loop Io;
  std::string Address = RawServer(Io.context()).address();
  Connection Wire(Io.context().get_executor(), Address);
  bool Done = Io.run([&]() -> awaitable<void> {
    auto Connected = co_await Wire.connect(soon());
    REQUIRE(!Connected);
    CHECK(Connected.error().Code == ErrorCode::NotConnected);
  });
  CHECK(Done);
}

TEST_CASE("a request that could smuggle another one is not sent") {
  Fixture F;
  bool Done = F.Io.run([&]() -> awaitable<void> {
    Request Asked;
    Asked.Path = "/ HTTP/1.1\r\n\r\nGET /";
    auto Answer = co_await F.Wire.roundTrip(std::move(Asked), soon());
    REQUIRE(!Answer);
    CHECK(Answer.error().Code == ErrorCode::InvalidInput);
  });
  CHECK(Done);
}

TEST_CASE("destroying a connection cancels its pending call") {
  Fixture F;
  RawServer Silent(F.Io.context());
  auto Wire = std::make_unique<Connection>(F.Io.context().get_executor(),
                                           Silent.address());
  bool Done = F.Io.run([&]() -> awaitable<void> {
    auto Connected = co_await Wire->connect(soon());
    REQUIRE(Connected);
    Request Asked;
    boost::asio::co_spawn(
        F.Io.context(),
        [&]() -> awaitable<void> {
          boost::asio::steady_timer Pause(F.Io.context(), Milliseconds(200));
          co_await Pause.async_wait(AsTuple);
          Wire.reset();
        },
        boost::asio::detached);
    auto Answer = co_await Wire->roundTrip(std::move(Asked), soon());
    REQUIRE(!Answer);
    CHECK(Answer.error().Code == ErrorCode::Cancelled);
  });
  CHECK(Done);
}

TEST_CASE("the io_context may be destroyed while a call is pending") {
  auto Io = std::make_unique<Loop>();
  RawServer Silent(Io->context());
  auto Server = Listener::open(
      Io->context(), {}, [&](Request Asked) -> awaitable<Response> {
        Client Next(Io->context().get_executor(),
                    {.Address = Silent.address()});
        auto Answer = co_await Next.send(std::move(Asked), soon());
        co_return Response();
      });
  REQUIRE(Server);
  RawClient Wire(Io->context(), Server.value()->address());
  Wire.send("GET / HTTP/1.1\r\n\r\n");
  while (Server.value()->stats().Requests == 0)
    Io->context().run_one();
  Io->context().poll();
  CHECK(Server.value()->stats().InFlight == 1);
}

TEST_CASE("a client opens a new connection if its pooled one was closed") {
  Fixture F;
  Client Pool(F.Io.context().get_executor(), {.Address = F.Server.address()});
  for (int I = 0; I < 3; ++I) {
    boost::asio::co_spawn(F.Io.context(), F.Server.serve(Complete),
                          boost::asio::detached);
    bool Done = F.Io.run([&]() -> awaitable<void> {
      Request Asked;
      auto Answer = co_await Pool.send(std::move(Asked), soon());
      REQUIRE(Answer);
      CHECK(Answer.value().Body == "ok");
    });
    CHECK(Done);
  }
}
