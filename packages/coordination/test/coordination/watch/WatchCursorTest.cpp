#include "coordination/watch/WatchCursor.h"

#include <doctest/doctest.h>

using namespace carawaypond;

TEST_CASE("an answer without changes does not move the cursor") {
  // Guards against a missed change: while the store was unresponsive for a
  // second, a watch timed out with a revision after a change that it had not
  // reported.
  WatchCursor Cursor;
  Cursor.onListed(StoreRevision(70));
  Cursor.onAnswer(0, StoreRevision(80));
  CHECK(Cursor.revision() == StoreRevision(70));
}

TEST_CASE("the cursor follows answers with changes and never goes back") {
  WatchCursor Cursor;
  CHECK(Cursor.mustList());
  Cursor.onListed(StoreRevision(70));
  CHECK_FALSE(Cursor.mustList());
  Cursor.onAnswer(2, StoreRevision(75));
  CHECK(Cursor.revision() == StoreRevision(75));
  Cursor.onAnswer(1, StoreRevision(74));
  CHECK(Cursor.revision() == StoreRevision(75));
}

TEST_CASE("everything is listed after a failed watch") {
  // Guards against a delay: after the store had compacted its history and
  // closed its watches, the next watch waited 5 s for the error that its
  // revision was too old.
  WatchCursor Cursor;
  Cursor.onListed(StoreRevision(239));
  Cursor.onFailed();
  CHECK(Cursor.mustList());
}

TEST_CASE("CONFIG: everything is listed after the store went back") {
  WatchCursor Cursor;
  Cursor.onListed(StoreRevision(70, StoreEra(1)));
  SUBCASE("a watch with changes") {
    Cursor.onAnswer(1, StoreRevision(75, StoreEra(2)));
  }
  SUBCASE("a watch without changes") {
    Cursor.onAnswer(0, StoreRevision(70, StoreEra(2)));
  }
  CHECK(Cursor.mustList());
}
