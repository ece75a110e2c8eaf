#include "coordination/evacuation/EvacuationRegistry.h"
#include "coordination/evacuation/CentreName.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace carawaypond;

namespace {

const DataCentre Umea("umea-a");
const DataCentre Lulea("lulea-b");
using Centres = std::set<DataCentre>;

EvacuatedCentre at(const DataCentre &Centre, std::uint64_t Revision) {
  return {.Centre = Centre, .Revision = StoreRevision(Revision)};
}

EvacuationList listAsOf(std::uint64_t AsOf,
                        std::vector<EvacuatedCentre> Centres) {
  return {.AsOf = StoreRevision(AsOf), .Centres = std::move(Centres)};
}

} // namespace

TEST_CASE("EVACUATION: reports in any order, repeated, end in the same state") {
  // Guards against a late report of another VM that ends an evacuation or
  // brings back one that was removed.
  using Report = std::function<void(EvacuationRegistry &)>;
  std::vector<Report> Reports = {
      [](auto &To) { To.put(at(Umea, 5)); },
      [](auto &To) { To.put(at(Lulea, 6)); },
      [](auto &To) {
        To.merge(listAsOf(7, {at(Umea, 5), at(Lulea, 6)}));
      },
      [](auto &To) { To.remove(at(Umea, 5)); },
      [](auto &To) { To.merge(listAsOf(9, {at(Lulea, 6)})); },
      [](auto &To) { To.remove(at(Lulea, 10)); },
      [](auto &To) { To.put(at(Umea, 12)); },
      [](auto &To) { To.merge(listAsOf(13, {at(Umea, 12)})); },
  };
  const std::vector<Report> Once = Reports;
  Reports.insert(Reports.end(), Once.begin(), Once.end());
  std::mt19937 Random(1);
  for (int Round = 0; Round < 500; ++Round) {
    std::shuffle(Reports.begin(), Reports.end(), Random);
    EvacuationRegistry Registry;
    for (const Report &Each : Reports)
      Each(Registry);
    CHECK(Registry.evacuated() == Centres{Umea});
    CHECK(Registry.list() == listAsOf(13, {at(Umea, 12)}));
  }
}

TEST_CASE("EVACUATION: a removal may bear the revision of the object") {
  EvacuationRegistry Registry;
  Registry.put(at(Umea, 5));
  Registry.remove(at(Umea, 5));
  CHECK(Registry.evacuated().empty());
  Registry.advance(StoreRevision(8));
  Registry.put(at(Umea, 5));
  CHECK(Registry.evacuated().empty());
  Registry.put(at(Umea, 9));
  CHECK(Registry.evacuated() == Centres{Umea});
}

TEST_CASE("EVACUATION: a list shows an object that a watch has missed") {
  // Guards against a store whose watch skips a change and answers with a later
  // revision: the object would be ignored as older than what is known.
  EvacuationRegistry Registry;
  Registry.merge(listAsOf(4, {}));
  Registry.advance(StoreRevision(8));
  Registry.merge(listAsOf(9, {at(Umea, 6)}));
  CHECK(Registry.evacuated() == Centres{Umea});
}

TEST_CASE("EVACUATION: each begin and end is reported once") {
  EvacuationRegistry Registry;
  Registry.put(at(Umea, 5));
  Registry.merge(listAsOf(7, {at(Umea, 5)}));
  auto Begun = Registry.takeChanges();
  REQUIRE(Begun.size() == 1);
  CHECK(Begun.front().IsEvacuated);
  Registry.merge(listAsOf(9, {}));
  Registry.remove(at(Umea, 5));
  auto Ended = Registry.takeChanges();
  REQUIRE(Ended.size() == 1);
  CHECK_FALSE(Ended.front().IsEvacuated);
  CHECK(Ended.front().Revision == StoreRevision(9));
}

TEST_CASE("EVACUATION: odd names do not name a data centre") {
  CHECK(isCentreName("umea-a"));
  for (const std::string &Odd :
       {std::string(), std::string("a b"), std::string("a\n"),
        std::string("\xc3\xa5"), std::string(MaxCentreNameBytes + 1, 'a')})
    CHECK_FALSE(isCentreName(Odd));
}

TEST_CASE("EVAC: an evacuation that a copy of the store lacks stays in force "
          "until it is written again") {
  EvacuationRegistry Registry;
  const StoreEra First(1);
  const StoreEra Second(2);
  const DataCentre Centre("umea-a");
  Registry.merge({.AsOf = StoreRevision(50, First), .Centres = {}});
  Registry.put({.Centre = Centre, .Revision = StoreRevision(60, First)});
  Registry.merge({.AsOf = StoreRevision(40, Second), .Centres = {}});
  Registry.merge({.AsOf = StoreRevision(41, Second), .Centres = {}});
  REQUIRE(Registry.evacuated().contains(Centre));

  SUBCASE("it is written again, and ends later") {
    Registry.put({.Centre = Centre, .Revision = StoreRevision(42, Second)});
    Registry.settle();
    CHECK(Registry.evacuated().contains(Centre));
    Registry.remove({.Centre = Centre, .Revision = StoreRevision(43, Second)});
    CHECK(Registry.evacuated().empty());
  }
  SUBCASE("it is not") {
    Registry.settle();
    CHECK(Registry.evacuated().empty());
  }
}
