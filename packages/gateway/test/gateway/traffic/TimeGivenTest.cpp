#include "gateway/RawCaller.h"
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

/// @brief Measures how much more time a replica is given than the caller has
/// left, which has CallerTimeout from AskedAt on.
struct ExcessProbe {
  std::atomic<TimePoint> AskedAt;
  std::atomic<std::int64_t> ExcessMs{INT64_MIN};

  void record(const http::Request &Arrived) {
    auto Waited =
        std::chrono::floor<Milliseconds>(monotonicNow() - AskedAt.load());
    Milliseconds Given(std::stoll(*Arrived.header("X-Deadline-Ms")));
    ExcessMs = (Given - (CallerTimeout - Waited)).count();
  }
};

} // namespace

TEST_CASE("BUDGET: a request that waited for a connection is given only the "
          "time that its caller has left") {
  FakeSite Site;
  FakeSite::Replica &Busy = Site.addReplica("s0");
  ExcessProbe Probe;
  auto Proper = Busy.Answer;
  Busy.Answer = [&, Proper](const http::Request &Asked) {
    if (*Asked.header("X-Request-Id") == "first")
      std::this_thread::sleep_for(BusyTime);
    else
      Probe.record(Asked);
    return Proper(Asked);
  };
  putOneConnectionConfig(Site);
  RunningGateway Gateway(Site.settings("vm1"));
  REQUIRE(Gateway.awaitReady());
  std::thread First([&] { (void)Gateway.ask("/s/1", "first"); });
  REQUIRE(eventually([&] { return Busy.Arrivals == 1; }));

  Probe.AskedAt = monotonicNow();
  http::Response Answer = Gateway.ask("/s/1", "second");
  First.join();

  CHECK(Answer.Status == 200);
  CHECK(Probe.ExcessMs > INT64_MIN);
  CHECK(Milliseconds(Probe.ExcessMs) <= MaxExcess);
}

TEST_CASE("BUDGET: a request whose body came late is given only the time that "
          "its caller has left") {
  FakeSite Site;
  FakeSite::Replica &Only = Site.addReplica("s0");
  ExcessProbe Probe;
  auto Proper = Only.Answer;
  Only.Answer = [&, Proper](const http::Request &Asked) {
    Probe.record(Asked);
    return Proper(Asked);
  };
  putOneConnectionConfig(Site);
  RunningGateway Gateway(Site.settings("vm1"));
  REQUIRE(Gateway.awaitReady());

  RawCaller Caller(Gateway.addresses().Callers);
  Probe.AskedAt = monotonicNow();
  Caller.send("POST /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
              "X-Deadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nab");
  std::this_thread::sleep_for(BusyTime);
  Caller.send("cd");

  CHECK(Caller.readHead().starts_with("HTTP/1.1 200"));
  CHECK(Probe.ExcessMs > INT64_MIN);
  CHECK(Milliseconds(Probe.ExcessMs) <= MaxExcess);
}
