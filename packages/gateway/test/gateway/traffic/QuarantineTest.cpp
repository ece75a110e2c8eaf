#include "gateway/PeerPorts.h"
#include "gateway/RunningGateway.h"
#include "gateway/SiteConfig.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr std::size_t ReplicaCount = 10;
constexpr int Repeats = 30;
constexpr Milliseconds BetweenRepeats{150};
/// Replicas that may end: three, and one that a VM that has not been told yet
/// sends it to.
constexpr int MaxEnded = 4;
const std::string Crashing = "/s/crash";

/// @brief A site whose replicas end when they run one request, and two VMs.
struct CrashingSite {
  FakeSite Site;
  std::vector<FakeSite::Replica *> Replicas;
  PeerPorts Ports;
  std::unique_ptr<RunningGateway> First;
  std::unique_ptr<RunningGateway> Second;

  CrashingSite() {
    for (std::size_t I = 0; I < ReplicaCount; ++I) {
      FakeSite::Replica &Added = Site.addReplica("s0");
      Replicas.push_back(&Added);
      Added.Answer = [this, &Added,
                      Usual = Added.Answer](const http::Request &Asked) {
        if (Asked.Path == Crashing)
          Site.end(Added);
        return Usual(Asked);
      };
    }
    Site.putConfig(1, {makeRoute()});
    First = std::make_unique<RunningGateway>(
        Ports.applyTo(Site.settingsWithRetries("vm1"), "127.0.0.2"));
    Second = std::make_unique<RunningGateway>(
        Ports.applyTo(Site.settingsWithRetries("vm2"), "127.0.0.3"));
  }

  [[nodiscard]] int ended() const {
    int Count = 0;
    for (const FakeSite::Replica *Each : Replicas)
      Count += Each->HasEnded ? 1 : 0;
    return Count;
  }
};

} // namespace

TEST_CASE("BUDGET: a request that ends the replicas that run it is not sent to "
          "one after the other") {
  CrashingSite Made;
  REQUIRE(Made.First->awaitReady());
  REQUIRE(Made.Second->awaitReady());
  std::this_thread::sleep_for(Milliseconds(1'500));
  int Served = 0;
  http::Response Last;
  for (int I = 0; I < Repeats; ++I) {
    const RunningGateway &Vm = I % 2 == 0 ? *Made.First : *Made.Second;
    Last = Vm.ask(Crashing, "crash" + std::to_string(I));
    Served += Vm.ask("/s/1", "id" + std::to_string(I)).Status == 200 ? 1 : 0;
    std::this_thread::sleep_for(BetweenRepeats);
  }
  CHECK(Made.ended() <= MaxEnded);
  CHECK(Last.Status == 503);
  CHECK(Last.Body.find("ends_replicas") != std::string::npos);
  // Other requests of the route are served on.
  CHECK(Served >= Repeats - 1);
}
