#include "gateway/pool/ReplicaPool.h"
#include "gateway/FakeSite.h"
#include "http/Endpoint.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr Milliseconds RunTime{3'000};

/// @brief A pool of one replica, and the connections that its requests used.
struct Fixture {
  FakeSite Site;
  boost::asio::io_context Context{1};
  ReplicaPool Pool{Context,
                   http::parseEndpoint(Site.addReplica("s0").Address).value(),
                   {},
                   std::make_shared<ReplyMemory>(std::size_t{1} << 20)};
  std::vector<ConnectionNumber> Used;
  int Served = 0;

  Exchange makeExchange() {
    return {.Compose =
                [this](ConnectionNumber On) {
                  Used.push_back(On);
                  return std::string("GET /s/1 HTTP/1.1\r\nHost: h\r\n"
                                     "X-Request-Id: id1\r\n\r\n");
                },
            .RequestId = "id1",
            .Done =
                [this](const ExchangeResult &How) {
                  if (std::holds_alternative<adapter::ReplicaReply>(How))
                    ++Served;
                }};
  }
  void runUntilServed(int Count) {
    Context.restart();
    while (Served < Count && Context.run_one_for(RunTime) > 0)
      ;
    REQUIRE(Served == Count);
  }
};

} // namespace

// The only connection had carried the request before: it was used again, or the
// request would have waited for ever.
TEST_CASE("TWICE: a request that may not use an idle connection gets a new one "
          "in its place") {
  Fixture Made;
  std::size_t Limit = 0;
  SUBCASE("at the limit of connections") { Limit = 1; }
  SUBCASE("below it") { Limit = 2; }
  Made.Pool.setLimit(Limit);
  Made.Pool.send(Made.makeExchange());
  Made.runUntilServed(1);
  Exchange Again = Made.makeExchange();
  ConnectionNumber First = Made.Used.front();
  Again.MayUse = [First](ConnectionNumber On) { return On != First; };
  Made.Pool.send(std::move(Again));
  Made.runUntilServed(2);
  REQUIRE(Made.Used.size() == 2);
  CHECK(Made.Used.back() != First);
  CHECK(Made.Pool.connections() == Limit);
}

TEST_CASE("a request that may use an idle connection does") {
  Fixture Made;
  Made.Pool.setLimit(2);
  Made.Pool.send(Made.makeExchange());
  Made.runUntilServed(1);
  Made.Pool.send(Made.makeExchange());
  Made.runUntilServed(2);
  CHECK(Made.Used.back() == Made.Used.front());
  CHECK(Made.Pool.opened() == 1);
}
