#include "gateway/RunningGateway.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr Milliseconds CallerTimeout{10'000}; ///< Of RunningGateway::ask().
constexpr Milliseconds BusyTime{1'500};
/// How much more time a replica may be given than the caller has left.
constexpr Milliseconds MaxExcess{500};

/// @brief Puts a route to service s0, whose replicas take one connection each.
void putOneConnectionConfig(FakeSite &Site) {
  nlohmann::json Route = {
      {"Name", "r"},      {"Host", "h.example"}, {"PathPrefix", "/s/"},
      {"Kind", "safe"},   {"TimeoutMs", 10'000}, {"TargetLatencyMs", 9'000},
      {"MaxAttempts", 2}, {"Priority", 1},       {"Service", "s0"}};
  Site.put("config", "main",
           {{"Version", 1},
            {"Routes", {Route}},
            {"Services", {{{"Name", "s0"}, {"MaxConns", 1}}}}});
}

} // namespace

TEST_CASE("BUDGET: a request that waited for a connection is given only the "
          "time that its caller has left") {
  FakeSite Site;
  FakeSite::Replica &Busy = Site.addReplica("s0");
  std::atomic<TimePoint> AskedAt;
  std::atomic<std::int64_t> ExcessMs{INT64_MIN};
  auto Proper = Busy.Answer;
  Busy.Answer = [&, Proper](const http::Request &Asked) {
    if (*Asked.header("X-Request-Id") == "first") {
      std::this_thread::sleep_for(BusyTime);
      return Proper(Asked);
    }
    auto Waited =
        std::chrono::floor<Milliseconds>(monotonicNow() - AskedAt.load());
    Milliseconds Given(std::stoll(*Asked.header("X-Deadline-Ms")));
    ExcessMs = (Given - (CallerTimeout - Waited)).count();
    return Proper(Asked);
  };
  putOneConnectionConfig(Site);
  RunningGateway Gateway(Site.settings("vm1"));
  REQUIRE(Gateway.awaitReady());
  std::thread First([&] { (void)Gateway.ask("/s/1", "first"); });
  REQUIRE(eventually([&] { return Busy.Arrivals == 1; }));

  AskedAt = monotonicNow();
  http::Response Answer = Gateway.ask("/s/1", "second");
  First.join();

  CHECK(Answer.Status == 200);
  CHECK(ExcessMs > INT64_MIN);
  CHECK(Milliseconds(ExcessMs) <= MaxExcess);
}
