#include "gateway/RawCaller.h"
#include "gateway/RunningGateway.h"
#include "gateway/SilentServer.h"

#include <doctest/doctest.h>

#include <list>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr Milliseconds Grace{4'000};
/// Between the requests that are sent while the VM stops.
constexpr Milliseconds Interval{250};
constexpr int Requests = 12; ///< The last one 3 s after the stop began.
/// Sent while other VMs may still name this one to callers.
constexpr int EarlyRequests = 8;

nlohmann::json makeRoute(const char *Prefix, const char *Kind,
                         const char *Service) {
  return {{"Name", Prefix},   {"Host", "h.example"}, {"PathPrefix", Prefix},
          {"Kind", Kind},     {"TimeoutMs", 10'000}, {"TargetLatencyMs", 500},
          {"MaxAttempts", 2}, {"Priority", 1},       {"Service", Service}};
}

std::string makeRequest(const std::string &Path, int Id) {
  return "POST " + Path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id" +
         std::to_string(Id) +
         "\r\nX-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE(
    "LOST: each request that a stopping VM has passed on is answered before "
    "it exits") {
  FakeSite Site;
  SilentServer Silent;
  FakeSite::Replica Entry;
  Entry.Id = "i-silent";
  Entry.Service = "s0";
  Entry.Address = Silent.address();
  Site.putEntry(Entry, "ready", 1);
  Site.put("config", "main",
           {{"Version", 1},
            {"Routes", {makeRoute("/u/", "unsafe", "s0")}},
            {"Services", {{{"Name", "s0"}, {"MaxConns", 100}}}}});
  adapter::SiteSettings Settings = Site.settings("vm1");
  Settings.GracePeriod = Grace;
  auto Gateway = std::make_unique<RunningGateway>(Settings);
  REQUIRE(Gateway->awaitReady());
  std::list<RawCaller> Callers;
  for (int I = 0; I < Requests; ++I)
    Callers.emplace_back(Gateway->addresses().Callers);

  // Its end closes the connections that are still open, as a process's does.
  std::thread Stopping([&] { Gateway.reset(); });
  int Sent = 0;
  for (RawCaller &Each : Callers) {
    Each.send(makeRequest("/u/1", Sent++));
    std::this_thread::sleep_for(Interval);
  }
  Stopping.join();
  int PassedOn = Silent.arrivals();
  int Answered = 0;
  int Failed = 0;
  for (RawCaller &Each : Callers) {
    std::string Head = Each.readHead();
    Answered += Head.starts_with("HTTP/1.1 50") ? 1 : 0;
    Failed += Head.starts_with("HTTP/1.1 502") ? 1 : 0;
  }

  // Later ones may find their connection closed, which promises that they were
  // not read.
  CHECK(Answered >= EarlyRequests);
  REQUIRE(PassedOn > 0);
  CHECK(Failed == PassedOn);
}
