#include "Loop.h"
#include "Raw.h"

#include "http/http.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::http;
using boost::asio::awaitable;

namespace {

constexpr std::string_view Question = "GET /v1/live HTTP/1.1\r\n\r\n";

/// @brief A listener whose handler waits until openGate() is called.
struct Fixture {
  Loop Io;
  boost::asio::steady_timer Gate{Io.context(), TimePoint::max()};
  std::unique_ptr<Listener> Server =
      std::move(Listener::open(Io.context(), {.Address = "127.0.0.1:0"},
                               [this](Request) -> awaitable<Response> {
                                 co_await Gate.async_wait(AsTuple);
                                 Response Answer;
                                 Answer.Body = "served";
                                 co_return Answer;
                               })
                    .value());

  void openGate() { Gate.expires_at(TimePoint::min()); }

  void runUntil(std::function<bool()> Reached) {
    while (!Reached())
      Io.context().run_one();
  }

  std::string readAll(RawClient &Wire) {
    std::string Text;
    bool Closed =
        Io.run([&]() -> awaitable<void> { Text = co_await Wire.readAll(); });
    CHECK(Closed);
    return Text;
  }
};

bool isServed(const std::string &Text) {
  return Text.find("Connection: close") != std::string::npos &&
         Text.ends_with("served");
}

} // namespace

TEST_CASE("a request in flight is finished, then its connection closes") {
  Fixture F;
  RawClient Wire(F.Io.context(), F.Server->address());
  Wire.send(Question);
  F.runUntil([&] { return F.Server->stats().Requests == 1; });
  F.Server->stopAccepting();
  F.Server->closeIdle();
  CHECK(F.Server->stats().InFlight == 1);
  F.openGate();
  CHECK(isServed(F.readAll(Wire)));
}

TEST_CASE("a request that is still unread in the socket is served") {
  Fixture F;
  F.openGate();
  RawClient Wire(F.Io.context(), F.Server->address());
  F.runUntil([&] { return F.Server->stats().Open == 1; });
  F.Io.context().poll();
  Wire.send(Question);
  F.Server->closeIdle();
  CHECK(isServed(F.readAll(Wire)));
}

TEST_CASE("a request that has arrived in part is served") {
  Fixture F;
  F.openGate();
  RawClient Wire(F.Io.context(), F.Server->address());
  Wire.send(Question.substr(0, 5));
  F.runUntil([&] { return F.Server->stats().InFlight == 1; });
  F.Server->closeIdle();
  F.Io.context().poll();
  Wire.send(Question.substr(5));
  CHECK(isServed(F.readAll(Wire)));
}

TEST_CASE("requests pipelined before the close are all served") {
  Fixture F;
  RawClient Wire(F.Io.context(), F.Server->address());
  Wire.send(Question);
  Wire.send(Question);
  F.runUntil([&] { return F.Server->stats().Requests == 1; });
  F.Server->closeIdle();
  F.openGate();
  CHECK(isServed(F.readAll(Wire)));
  CHECK(F.Server->stats().Requests == 2);
}

TEST_CASE("a connection that was established but not accepted is served") {
  Fixture F;
  F.openGate();
  RawClient Wire(F.Io.context(), F.Server->address());
  Wire.send(Question);
  F.Server->stopAccepting();
  F.Server->closeIdle();
  CHECK(isServed(F.readAll(Wire)));
}

TEST_CASE("a request sent while the connection closes gets outcome not_run") {
  Fixture F;
  RawClient Wire(F.Io.context(), F.Server->address());
  F.runUntil([&] { return F.Server->stats().Open == 1; });
  F.Io.context().poll();
  F.Server->closeIdle();
  F.Io.context().poll();
  Wire.send(Question);
  std::string Text = F.readAll(Wire);
  CHECK(Text.starts_with("HTTP/1.1 408"));
  CHECK(Text.find(R"("outcome":"not_run")") != std::string::npos);
  CHECK(F.Server->stats().Requests == 0);
}

TEST_CASE("the io_context runs out of work once a stopped listener has no "
          "connection") {
  Fixture F;
  RawClient Wire(F.Io.context(), F.Server->address());
  F.runUntil([&] { return F.Server->stats().Open == 1; });
  F.Server->stopAccepting();
  F.Server->closeIdle();
  F.readAll(Wire);
  F.runUntil([&] { return F.Server->stats().Open == 0; });
  F.Io.context().run();
  CHECK(F.Io.context().stopped());
}

TEST_CASE("responses while draining carry Connection: close") {
  Fixture F;
  F.openGate();
  F.Server->setDraining(true);
  RawClient Wire(F.Io.context(), F.Server->address());
  Wire.send(Question);
  CHECK(isServed(F.readAll(Wire)));
}
