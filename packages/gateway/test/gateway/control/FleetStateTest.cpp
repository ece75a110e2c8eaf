#include "gateway/control/FleetState.h"
#include "gateway/SiteConfig.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;
using nlohmann::json;

namespace {

/// @return The configuration as it is read from a message: integers that are
/// built in code are signed, which no message yields.
json parsedConfig(int Version) {
  return json::parse(makeConfig(Version, {makeRoute()}).dump());
}

json malformedConfig() { return json::parse(R"({"Version": 9})"); }

/// @brief The state of a VM that counts the proofs of its configuration.
struct Fixture {
  EventLog Log{EventLogOptions{}};
  FleetState State{VmName("vm1"),
                   {},
                   Log,
                   [] { return VmLoad{}; },
                   [](const std::shared_ptr<const TrafficView> &) {}};
  unsigned Proofs = 0;

  Fixture() {
    State.onProof([this](BootTime) { ++Proofs; });
  }
  /// @return Whether @p Source can prove the configuration in force.
  bool proves(std::string_view Source) {
    unsigned Before = Proofs;
    State.proveConfig(bootNow(), Source);
    return Proofs > Before;
  }
};

} // namespace

TEST_CASE("CONFIG: another VM's older configuration does not let the store "
          "prove it while the store's own can't be decoded") {
  // Guards against keys that are trusted although the version that may revoke
  // them was not read.
  Fixture Made;
  REQUIRE_FALSE(Made.State.applyConfig(malformedConfig(), StoreSource));
  for (std::string_view Source : {PeerSource, ReaderSource}) {
    REQUIRE(Made.State.applyConfig(parsedConfig(1), Source));
    CHECK_FALSE(Made.proves(StoreSource));
  }
  REQUIRE(Made.State.applyConfig(parsedConfig(2), StoreSource));
  CHECK(Made.State.configVersion() == 2);
  CHECK(Made.proves(StoreSource));
}

TEST_CASE("CONFIG: another VM's malformed configuration does not end the "
          "proofs by the store") {
  // Guards against requests with keys that are refused until the next version.
  Fixture Made;
  REQUIRE(Made.State.applyConfig(parsedConfig(1), StoreSource));
  for (std::string_view Source : {PeerSource, ReaderSource}) {
    CHECK_FALSE(Made.State.applyConfig(malformedConfig(), Source));
    CHECK(Made.proves(StoreSource));
  }
}

TEST_CASE("CONFIG: a VM that could not decode the store's configuration is "
          "proved by the VM whose newer one it took") {
  // Guards against a VM that follows another one and refuses requests with keys
  // until it reads the store again.
  Fixture Made;
  REQUIRE_FALSE(Made.State.applyConfig(malformedConfig(), StoreSource));
  CHECK_FALSE(Made.proves(ReaderSource));
  REQUIRE(Made.State.applyConfig(parsedConfig(10), ReaderSource));
  CHECK(Made.proves(ReaderSource));
  CHECK(Made.proves(PeerSource));
}

TEST_CASE("CONFIG: a store that has just come back from a copy proves no "
          "configuration") {
  // Guards against keys that are trusted although the store has lost the
  // version that revoked them.
  Fixture Made;
  TimePoint Now = monotonicNow();
  Made.State.onStoreAnswered(Now, StoreEra(1));
  REQUIRE(Made.State.applyConfig(parsedConfig(1), StoreSource));
  REQUIRE(Made.State.applyConfig(parsedConfig(2), StoreSource));
  REQUIRE(Made.proves(StoreSource));
  SUBCASE("it may lack a version that nobody knows") {
    Made.State.onStoreAnswered(Now, StoreEra(2));
    REQUIRE(Made.State.applyConfig(parsedConfig(2), StoreSource));
    CHECK_FALSE(Made.proves(StoreSource));
    CHECK(Made.proves(PeerSource));
  }
  SUBCASE("it lacks the version in force") {
    REQUIRE(Made.State.applyConfig(parsedConfig(1), StoreSource));
    CHECK(Made.State.configVersion() == 2);
    CHECK_FALSE(Made.proves(StoreSource));
    REQUIRE(Made.State.applyConfig(parsedConfig(2), StoreSource));
    CHECK(Made.proves(StoreSource));
  }
  SUBCASE("it lacks a version that another VM has") {
    Made.State.onConfigHeard(3);
    CHECK_FALSE(Made.proves(StoreSource));
    REQUIRE(Made.State.applyConfig(parsedConfig(3), PeerSource));
    CHECK_FALSE(Made.proves(StoreSource));
    REQUIRE(Made.State.applyConfig(parsedConfig(3), StoreSource));
    CHECK(Made.proves(StoreSource));
  }
}
