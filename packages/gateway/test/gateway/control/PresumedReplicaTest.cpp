#include "gateway/FreePort.h"
#include "gateway/RunningGateway.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

/// Longer than two heartbeats of a replica, so that its entry may expire.
constexpr Milliseconds Outage{4'000};
/// Longer than a watch that was open when the store went down.
constexpr Milliseconds WatchEnd{1'500};
/// How long after the store's recovery an entry may still be missing.
constexpr Milliseconds ReturnTime{2'000};

/// @brief Starts a VM that exchanges heartbeats with the others of a test.
std::unique_ptr<RunningGateway> startVm(FakeSite &Site, const char *Vm,
                                        const std::string &Ip,
                                        std::uint16_t PeerPort,
                                        std::uint16_t HeartbeatPort) {
  adapter::SiteSettings Settings = Site.settings(Vm);
  Settings.Ip = Ip;
  Settings.PeerAddress = Ip + ":" + std::to_string(PeerPort);
  Settings.FirstInternalPort = HeartbeatPort;
  return std::make_unique<RunningGateway>(Settings);
}

} // namespace

TEST_CASE("a VM that starts after an outage learns from the others which "
          "replicas are presumed to live") {
  FakeSite Site;
  FakeSite::Replica &Only = Site.addReplica("s0");
  Site.putConfig(1, {{{"Name", "r"},
                      {"Host", "h.example"},
                      {"PathPrefix", "/s/"},
                      {"Kind", "safe"},
                      {"TimeoutMs", 10'000},
                      {"TargetLatencyMs", 5'000},
                      {"MaxAttempts", 2},
                      {"Priority", 1},
                      {"Service", "s0"}}});
  std::uint16_t PeerPort = freePort();
  std::uint16_t HeartbeatPort = freePort();
  auto Knowing = startVm(Site, "vm2", "127.0.0.3", PeerPort, HeartbeatPort);
  REQUIRE(Knowing->awaitReady());
  // Long enough that a removal would be applied at once.
  std::this_thread::sleep_for(Outage);
  Site.setStoreDown(true);
  std::this_thread::sleep_for(WatchEnd);
  Site.remove("servers", Only.Id);
  std::this_thread::sleep_for(Outage);

  Site.setStoreDown(false);
  TimePoint Recovered = monotonicNow();
  auto Started = startVm(Site, "vm1", "127.0.0.2", PeerPort, HeartbeatPort);
  REQUIRE(Started->awaitReady());
  CHECK(eventually([&] { return Started->ask("/s/1").Status == 200; }));
  CHECK(monotonicNow() - Recovered < ReturnTime);
  CHECK(Knowing->ask("/s/1").Status == 200);
}
