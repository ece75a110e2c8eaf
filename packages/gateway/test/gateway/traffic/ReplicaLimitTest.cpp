#include "gateway/FreePort.h"
#include "gateway/RunningGateway.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr const char *Limit = "10.0"; ///< Requests per second.
/// The most that may arrive in any Window, over all VMs.
constexpr std::size_t MaxArrivals = 65;
constexpr Milliseconds Window{4'000};
constexpr Milliseconds RunTime{10'000};
constexpr Milliseconds LimitedFrom{500}; ///< When the limit is first named.

nlohmann::json makeRoute() {
  return {{"Name", "r"},      {"Host", "h.example"}, {"PathPrefix", "/s/"},
          {"Kind", "safe"},   {"TimeoutMs", 10'000}, {"TargetLatencyMs", 40},
          {"MaxAttempts", 2}, {"Priority", 1},       {"Service", "s0"}};
}

std::unique_ptr<RunningGateway> start(const FakeSite &Site, const char *Vm,
                                      const char *Ip, std::uint16_t PeerPort,
                                      std::uint16_t HeartbeatPort) {
  adapter::SiteSettings Settings = Site.settings(Vm);
  Settings.Ip = Ip;
  Settings.PeerAddress = std::string(Ip) + ":" + std::to_string(PeerPort);
  Settings.FirstInternalPort = HeartbeatPort;
  return std::make_unique<RunningGateway>(Settings);
}

/// @return The most arrivals in any Window that begins at @p From or later.
std::size_t mostArrivals(const std::vector<TimePoint> &Arrivals,
                         TimePoint From) {
  std::size_t Most = 0;
  auto Last = Arrivals.begin();
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    while (Last != Arrivals.end() && *Last < *First + Window)
      ++Last;
    if (*First >= From)
      Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

} // namespace

TEST_CASE("LIMIT: a replica that names a limit gets no more than that from all "
          "VMs together") {
  FakeSite Site;
  FakeSite::Replica &Limited = Site.addReplica("s0");
  FakeSite::Replica &Other = Site.addReplica("s0");
  std::vector<TimePoint> Arrivals;
  std::atomic<bool> IsLimited = false;
  Limited.Answer = [&, Quick = Limited.Answer](const http::Request &Asked) {
    http::Response Answer = Quick(Asked);
    Arrivals.push_back(monotonicNow());
    if (IsLimited)
      Answer.Headers.push_back({.Name = "Server-Limit", .Value = Limit});
    return Answer;
  };
  Other.Answer = [Quick = Other.Answer](const http::Request &Asked) {
    std::this_thread::sleep_for(Milliseconds(10));
    return Quick(Asked);
  };
  Site.putConfig(1, {makeRoute()});
  std::uint16_t PeerPort = freePort();
  std::uint16_t HeartbeatPort = freePort();
  auto First = start(Site, "vm1", "127.0.0.2", PeerPort, HeartbeatPort);
  auto Second = start(Site, "vm2", "127.0.0.3", PeerPort, HeartbeatPort);
  REQUIRE(First->awaitReady());
  REQUIRE(Second->awaitReady());

  TimePoint Begun = monotonicNow();
  std::atomic<int> NotServed = 0;
  auto Ask = [&](const RunningGateway &Of) {
    while (monotonicNow() < Begun + RunTime) {
      IsLimited = monotonicNow() > Begun + LimitedFrom;
      NotServed += Of.ask("/s/1").Status == 200 ? 0 : 1;
    }
  };
  std::thread Asking([&] { Ask(*First); });
  Ask(*Second);
  Asking.join();
  First.reset();
  Second.reset();

  CHECK(NotServed == 0);
  CHECK(mostArrivals(Arrivals, Begun + LimitedFrom + Window) <= MaxArrivals);
  CHECK(mostArrivals(Arrivals, Begun + LimitedFrom + Window) >=
        MaxArrivals / 3);
}
