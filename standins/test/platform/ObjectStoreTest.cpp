#include "platform/ObjectStore.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace carawaypond::standins;

TEST_CASE("a second create fails and returns the current version") {
  ObjectStore Store;
  WriteOutcome First = Store.write("service", "a", MustBeAbsent{}, "{}");
  REQUIRE(std::holds_alternative<Written>(First));
  CHECK(std::get<Written>(First).Object.Version == 1);
  WriteOutcome Second = Store.write("service", "a", MustBeAbsent{}, "{}");
  REQUIRE(std::holds_alternative<ConditionFailed>(Second));
  CHECK(std::get<ConditionFailed>(Second).CurrentVersion == 1);
}

TEST_CASE("a stale update changes nothing") {
  ObjectStore Store;
  Store.write("service", "a", MustBeAbsent{}, R"({"n":1})");
  Store.write("service", "a", MustHaveVersion{1}, R"({"n":2})");
  WriteOutcome Stale =
      Store.write("service", "a", MustHaveVersion{1}, R"({"n":3})");
  REQUIRE(std::holds_alternative<ConditionFailed>(Stale));
  CHECK(std::get<ConditionFailed>(Stale).CurrentVersion == 2);
  CHECK(Store.find("service", "a")->Value == R"({"n":2})");
}

TEST_CASE("an update of an absent object fails") {
  ObjectStore Store;
  WriteOutcome Outcome = Store.write("service", "a", MustHaveVersion{0}, "{}");
  CHECK(std::holds_alternative<ConditionFailed>(Outcome));
}

TEST_CASE("a value may have up to 1 MiB") {
  ObjectStore Store;
  std::string Largest(MaxValueBytes, 'x');
  CHECK(std::holds_alternative<Written>(
      Store.write("service", "a", MustBeAbsent{}, Largest)));
  CHECK(std::holds_alternative<ValueTooLarge>(
      Store.write("service", "b", MustBeAbsent{}, Largest + "x")));
}

TEST_CASE(
    "a watch cannot start before a compaction or after the last revision") {
  ObjectStore Store;
  Store.write("service", "a", MustBeAbsent{}, "{}");
  Store.write("service", "b", MustBeAbsent{}, "{}");
  CHECK(Store.canWatchAfter(0));
  CHECK_FALSE(Store.canWatchAfter(3));
  Store.compact();
  CHECK_FALSE(Store.canWatchAfter(1));
  CHECK(Store.canWatchAfter(2));
}

TEST_CASE("applying all changes reproduces the content of the store") {
  bool Held = rc::check([](std::vector<std::uint8_t> Names) {
    ObjectStore Store;
    std::map<std::string, StoredObject> Followed;
    std::uint64_t Revision = 0;
    for (std::uint8_t Draw : Names) {
      std::string Name = std::to_string(Draw % 5);
      const StoredObject *Now = Store.find("index", Name);
      WriteCondition Condition = MustBeAbsent{};
      if (Now)
        Condition = MustHaveVersion{Now->Version};
      RC_ASSERT(std::holds_alternative<Written>(
          Store.write("index", Name, Condition, std::to_string(Draw))));
      if (Draw % 3 != 0)
        continue;
      for (const StoredObject &Changed : Store.changedSince("index", Revision))
        Followed[Changed.Name] = Changed;
      Revision = Store.revision();
    }
    for (const StoredObject &Changed : Store.changedSince("index", Revision))
      Followed[Changed.Name] = Changed;
    for (const auto &[Name, Object] : Followed)
      RC_ASSERT(Object == *Store.find("index", Name));
    RC_ASSERT(Followed.size() == Store.changedSince("index", 0).size());
  });
  CHECK(Held);
}
