#include "gateway/control/VmRegistration.h"
#include "gateway/RunningGateway.h"
#include "gateway/peers/Heartbeat.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr const char *Kind = "carawaypond-vms";
constexpr Milliseconds ListInterval{20};
constexpr Milliseconds Retention{200};
constexpr Milliseconds RunTime{5'000};
/// For calls that a test does not wait for.
constexpr Milliseconds SettleTime{200};

VmRecord makeVm(const std::string &Name, std::uint64_t IncarnationNumber) {
  return {.Name = VmName(Name),
          .IncarnationNumber = Incarnation(IncarnationNumber),
          .Centre = DataCentre("umea-a"),
          .PeerAddress = "127.0.0.1:1",
          .CallerAddress = "127.0.0.1:2",
          .OperatorAddress = {}};
}

FollowOptions makeOptions() {
  FollowOptions Options = FollowOptions::within({});
  Options.RegistryInterval = ListInterval;
  Options.RecordRetention = Retention;
  return Options;
}

/// @brief The registration of the VM "vm1", incarnation 5.
struct Fixture {
  FakeSite Site;
  boost::asio::io_context Context{1};
  EventLog Log{EventLogOptions{}};
  FleetState State{VmName("vm1"),
                   {},
                   Log,
                   [] { return VmLoad{}; },
                   [](const std::shared_ptr<const TrafficView> &) {}};
  adapter::StoreClient Store{Context.get_executor(),
                             Site.settings("vm1").StoreAddress};
  VmRegistration Registration{Context,          Store,         State, Log,
                              makeVm("vm1", 5), makeOptions(), [] {}};

  Fixture() {
    boost::asio::co_spawn(Context, Registration.run(), boost::asio::detached);
  }
  ~Fixture() {
    boost::asio::co_spawn(Context, Registration.withdraw(),
                          boost::asio::detached);
    Context.run_for(RunTime);
  }
  /// @return Whether @p Holds within RunTime.
  bool runUntil(const std::function<bool()> &Holds) {
    TimePoint Until = monotonicNow() + RunTime;
    while (!Holds() && monotonicNow() < Until)
      Context.run_for(Milliseconds(5));
    return Holds();
  }
  /// @brief Runs withdraw() to its end.
  void withdraw() {
    bool IsDone = false;
    auto Withdraw = [&]() -> boost::asio::awaitable<void> {
      co_await Registration.withdraw();
      IsDone = true;
    };
    boost::asio::co_spawn(Context, Withdraw(), boost::asio::detached);
    REQUIRE(runUntil([&] { return IsDone; }));
  }
  bool isRegistered() {
    nlohmann::json Record = Site.get(Kind, "vm1");
    return !Record.is_null() && Record["spec"]["life"] == 5;
  }
};

} // namespace

TEST_CASE("the record of a VM that is gone is removed from the store") {
  // Guards against records that stay for ever.
  Fixture Made;
  Made.Site.put(Kind, "gone", encodeVm(makeVm("gone", 1)));
  CHECK(Made.runUntil([&] { return Made.Site.get(Kind, "gone").is_null(); }));
  CHECK(Made.isRegistered());
}

TEST_CASE("a record that was removed or overwritten is written again") {
  // Guards against a VM that stays unknown after another one removed its
  // record, or after a write of its earlier incarnation came late.
  Fixture Made;
  REQUIRE(Made.runUntil([&] { return Made.isRegistered(); }));

  SUBCASE("removed") { Made.Site.remove(Kind, "vm1"); }
  SUBCASE("overwritten") {
    Made.Site.put(Kind, "vm1", encodeVm(makeVm("vm1", 9)));
  }
  REQUIRE_FALSE(Made.isRegistered());
  CHECK(Made.runUntil([&] { return Made.isRegistered(); }));
}

TEST_CASE("a VM that withdraws while it writes its record leaves none") {
  // Guards against a record that stays as its write takes effect after its
  // removal.
  Fixture Made;

  SUBCASE("the first write") {}
  SUBCASE("a record that was removed") {
    REQUIRE(Made.runUntil([&] { return Made.isRegistered(); }));
    Made.Site.setHoldsWrites(true);
    Made.Site.remove(Kind, "vm1");
  }
  Made.Site.setHoldsWrites(true);
  std::uint64_t Writes = Made.Store.counts().Writes;
  REQUIRE(Made.runUntil([&] { return Made.Store.counts().Writes > Writes; }));
  Made.withdraw();
  REQUIRE_FALSE(Made.isRegistered());
  Made.Site.setHoldsWrites(false);
  CHECK(
      Made.runUntil([&] { return Made.Store.counts().Writes == Writes + 3; }));
  Made.Context.run_for(SettleTime);
  CHECK_FALSE(Made.isRegistered());
}

TEST_CASE("a record that has changed is not removed") {
  Fixture Made;
  Made.Site.put(Kind, "back", encodeVm(makeVm("back", 1)));
  std::uint64_t Number = Made.Site.get(Kind, "back")["meta"]["Rev"];
  StoreRevision Old(Number, Made.Store.era());
  Made.Site.put(Kind, "back", encodeVm(makeVm("back", 2)));
  std::optional<ErrorCode> Failed;
  auto Remove = [&]() -> boost::asio::awaitable<void> {
    TimePoint Deadline = monotonicNow() + RunTime;
    auto Removed = co_await Made.Store.removeIf(Kind, "back", Old, Deadline);
    if (!Removed)
      Failed = Removed.error().Code;
  };
  boost::asio::co_spawn(Made.Context, Remove(), boost::asio::detached);
  REQUIRE(Made.runUntil([&] { return Failed.has_value(); }));
  CHECK(*Failed == ErrorCode::Conflict);
  CHECK_FALSE(Made.Site.get(Kind, "back").is_null());
}
