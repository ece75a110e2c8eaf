#include "coordination/replicas/ReplicaBook.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{};
const ServerName Id("i-1");

ReplicaRecord makeRecord() {
  ReplicaRecord Record;
  Record.Id = Id;
  Record.Service = ServiceName("ledger");
  Record.Address = "10.0.0.1:80";
  Record.StartedAt = 100;
  Record.WarmupLeft = Milliseconds(3'000);
  return Record;
}

} // namespace

TEST_CASE("an entry that goes while the store is well is gone at once") {
  ReplicaBook Book({});
  Book.put(makeRecord());
  CHECK(Book.remove(Id, Start));
  CHECK(Book.entries().empty());
}

TEST_CASE("an entry that goes around an outage is believed for a while") {
  ReplicaBook Book({.ReturnAllowance = Milliseconds(2'600)});
  Book.put(makeRecord());
  Book.onStoreLost();
  TimePoint Returned = Start + Milliseconds(5'000);
  Book.onStoreAnswered(Returned);
  CHECK_FALSE(Book.remove(Id, Returned + Milliseconds(10)));
  CHECK(Book.entries().contains(Id));
  CHECK_FALSE(Book.expire(Returned + Milliseconds(2'500)));

  SUBCASE("it is gone if it stays away") {
    CHECK(Book.expire(Returned + Milliseconds(2'700)));
    CHECK(Book.entries().empty());
  }
  SUBCASE("it stays if it comes back") {
    Book.put(makeRecord());
    CHECK_FALSE(Book.expire(Returned + Milliseconds(2'700)));
    CHECK(Book.entries().contains(Id));
  }
}

TEST_CASE("a list without an entry counts as its removal") {
  ReplicaBook Book({});
  Book.put(makeRecord());
  CHECK(Book.replaceAll({}, Start));
  CHECK(Book.entries().empty());
}

TEST_CASE("an older incarnation under the same id is ignored") {
  ReplicaBook Book({});
  ReplicaRecord Newer = makeRecord();
  Newer.StartedAt = 200;
  Newer.Address = "10.0.0.2:80";
  Book.put(Newer);
  CHECK_FALSE(Book.put(makeRecord()));
  CHECK(Book.entries().at(Id).Address == "10.0.0.2:80");
}

TEST_CASE("a warm-up that runs off is no change, leaving is one") {
  ReplicaBook Book({});
  Book.put(makeRecord());
  ReplicaRecord Later = makeRecord();
  Later.WarmupLeft = Milliseconds(1'800);
  CHECK_FALSE(Book.put(Later));
  Later.State = ReplicaState::Leaving;
  CHECK(Book.put(Later));
}

TEST_CASE("what another VM decided holds while the store is lost to this one") {
  // Seen on a grown fleet: a VM that lost the store, and then followed another
  // one, kept entries that had left for ever.
  ReplicaBook Book({});
  Book.put(makeRecord());
  Book.onStoreLost();

  SUBCASE("a single change") {
    CHECK(Book.adopt({}, {Id}));
    CHECK(Book.entries().empty());
  }
  SUBCASE("everything") {
    CHECK(Book.adoptAll({}));
    CHECK(Book.entries().empty());
  }
}
