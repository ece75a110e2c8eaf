#include "coordination/quarantine/RequestQuarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{Milliseconds(1'000'000)};
const ContentHash Bad(7);
const ContentHash Other(8);

TimePoint at(int Millis) { return Start + Milliseconds(Millis); }

bool crash(RequestQuarantine &On, int Millis, std::uint32_t Replica,
           std::uint32_t Request, ContentHash Content = Bad) {
  return On.onCrash(Content, ReplicaHash(Replica), RequestHash(Request),
                    at(Millis), at(Millis + 20));
}

/// @brief Passes on all that @p From knows.
void tell(const RequestQuarantine &From, RequestQuarantine &To, int Millis) {
  for (const QuarantineReport &Each : From.reports(100, at(Millis)))
    To.onReport(Each, at(Millis));
}

/// @return A quarantine that holds Bad since 2 s.
RequestQuarantine makeHeld() {
  RequestQuarantine Made;
  for (int I = 0; I < 3; ++I)
    crash(Made, I * 1'000, static_cast<std::uint32_t>(I),
          static_cast<std::uint32_t>(I));
  return Made;
}

} // namespace

TEST_CASE("BUDGET: the third replica that ends under a request begins a "
          "quarantine") {
  RequestQuarantine Made;
  CHECK(Made.isEmpty());
  CHECK_FALSE(crash(Made, 0, 1, 1));
  CHECK_FALSE(crash(Made, 1'000, 2, 2));
  CHECK_FALSE(Made.holds(Bad, at(1'100)));
  CHECK(crash(Made, 2'000, 3, 3));
  CHECK(Made.holds(Bad, at(2'100)));
  CHECK_FALSE(Made.holds(Other, at(2'100)));
}

TEST_CASE("BUDGET: VMs of which each has seen one replica end hold the request "
          "together") {
  RequestQuarantine Vms[3];
  for (int I = 0; I < 3; ++I)
    crash(Vms[I], I * 300, static_cast<std::uint32_t>(I),
          static_cast<std::uint32_t>(I));
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < 3; ++I)
      tell(Vms[I], Vms[(I + 1) % 3], 1'000 + Round * 700);
  for (const RequestQuarantine &Each : Vms)
    CHECK(Each.holds(Bad, at(2'000)));
}

TEST_CASE("replicas that end at the same moment under different requests count "
          "as one") {
  // Guards against a blamed request: the replicas of a rack end together.
  RequestQuarantine Made;
  for (std::uint32_t I = 0; I < 6; ++I)
    crash(Made, static_cast<int>(I), I, I);
  CHECK_FALSE(Made.holds(Bad, at(100)));

  SUBCASE("but not under one request to many shards") {
    RequestQuarantine Shards;
    for (std::uint32_t I = 0; I < 6; ++I)
      crash(Shards, static_cast<int>(I), I, 1);
    CHECK(Shards.holds(Bad, at(100)));
  }
}

TEST_CASE("a request that a replica survives is cleared, on all VMs") {
  RequestQuarantine Made;
  crash(Made, 0, 1, 1);
  crash(Made, 1'000, 2, 2);
  RequestQuarantine Told;
  tell(Made, Told, 1'100);
  Made.onSurvived(Bad, at(1'500));
  tell(Made, Told, 1'600);
  for (RequestQuarantine *Each : {&Made, &Told}) {
    crash(*Each, 2'000, 3, 3);
    CHECK_FALSE(Each->holds(Bad, at(2'100)));
  }
  // A check that ends late does not count what was before.
  CHECK_FALSE(crash(Made, 1'400, 4, 4));
  crash(Made, 2'200, 5, 5);
  CHECK_FALSE(Made.holds(Bad, at(2'300)));
}

TEST_CASE("a quarantine ends by itself; one more crash begins a longer one") {
  RequestQuarantine Made = makeHeld();
  CHECK(Made.holds(Bad, at(31'900)));
  CHECK_FALSE(Made.holds(Bad, at(32'000)));
  CHECK(crash(Made, 33'000, 9, 9));
  CHECK(Made.holds(Bad, at(33'000 + 59'000)));
  CHECK_FALSE(Made.holds(Bad, at(33'000 + 60'000)));
  Made.onSurvived(Bad, at(95'000));
  CHECK_FALSE(crash(Made, 96'000, 10, 10));
}

TEST_CASE("reports that VMs repeat to each other do not prolong a quarantine") {
  RequestQuarantine First = makeHeld();
  RequestQuarantine Second;
  for (int Millis = 3'000; Millis < 40'000; Millis += 500) {
    tell(First, Second, Millis);
    tell(Second, First, Millis + 100);
  }
  CHECK_FALSE(First.holds(Bad, at(32'100)));
  CHECK_FALSE(Second.holds(Bad, at(32'300)));
}

TEST_CASE("BUDGET: reports that VMs repeat to each other do not clear a later "
          "crash") {
  RequestQuarantine First;
  RequestQuarantine Second;
  crash(First, 0, 1, 1);
  tell(First, Second, 100);
  First.onSurvived(Bad, at(500));
  for (std::uint32_t I = 0; I < 3; ++I)
    crash(First, 1'000 + static_cast<int>(I) * 100, I + 2, I + 2);
  // Each message takes 10 ms.
  for (int Millis = 2'000; Millis < 20'000; Millis += 20) {
    for (const QuarantineReport &Each : First.reports(1, at(Millis)))
      Second.onReport(Each, at(Millis + 10));
    for (const QuarantineReport &Each : Second.reports(1, at(Millis + 10)))
      First.onReport(Each, at(Millis + 20));
  }
  CHECK(First.holds(Bad, at(20'000)));
  CHECK(Second.holds(Bad, at(20'000)));
}

TEST_CASE("what is remembered is bounded, and a quarantine is kept") {
  QuarantineOptions Options;
  Options.MaxContents = 10;
  RequestQuarantine Made(Options);
  for (std::uint32_t I = 0; I < 3; ++I)
    crash(Made, static_cast<int>(I) * 100, I, I);
  for (std::uint32_t I = 100; I < 200; ++I)
    crash(Made, 1'000, I, I, ContentHash(I));
  CHECK(Made.reports(1'000, at(1'100)).size() == 10);
  CHECK(Made.reports(1, at(1'100)).front().Content == Bad);
  CHECK(Made.holds(Bad, at(1'100)));
  CHECK(Made.count(at(1'100)) == 1);
  Made.expire(at(2'000'000));
  CHECK(Made.isEmpty());
}

TEST_CASE("reports may arrive in any order, and more than once") {
  CHECK(rc::check([] {
    RequestQuarantine Source;
    std::vector<QuarantineReport> Reports;
    int Now = 0;
    for (int I = 0; I < 12; ++I) {
      Now += *rc::gen::inRange(60, 2'000);
      if (*rc::gen::inRange(0, 4) == 0)
        Source.onSurvived(Bad, at(Now));
      else
        crash(Source, Now, *rc::gen::inRange<std::uint32_t>(0, 8),
              static_cast<std::uint32_t>(I));
      // As of one time, so that ages don't depend on the order.
      for (const QuarantineReport &Each : Source.reports(1, at(30'000)))
        Reports.push_back(Each);
    }
    auto feed = [](const std::vector<QuarantineReport> &Told) {
      RequestQuarantine To;
      for (const QuarantineReport &Each : Told)
        To.onReport(Each, at(30'000));
      return To;
    };
    RequestQuarantine InOrder = feed(Reports);
    auto Shuffled = Reports;
    Shuffled.insert(Shuffled.end(), Reports.begin(), Reports.end());
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    for (std::size_t I = Shuffled.size(); I > 1; --I)
      std::swap(Shuffled[I - 1], Shuffled[(Seed + I * 7'919) % I]);
    RequestQuarantine Mixed = feed(Shuffled);
    for (int Millis : {0, 10'000, 31'000, 62'000, 200'000})
      RC_ASSERT(InOrder.holds(Bad, at(30'000 + Millis)) ==
                Mixed.holds(Bad, at(30'000 + Millis)));
  }));
}
