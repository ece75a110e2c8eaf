#include "coordination/watch/WatchCursor.h"

#include <doctest/doctest.h>

using namespace carawaypond;

TEST_CASE("an answer without changes does not move the cursor") {
  // Guards against a missed change: while the store was unresponsive for a
  // second, a watch timed out with a revision after a change that it had not
  // reported.
  WatchCursor Cursor;
  Cursor.onListed(70);
  Cursor.onAnswer(0, 80);
  CHECK(Cursor.revision() == 70);
}

TEST_CASE("the cursor follows answers with changes and never goes back") {
  WatchCursor Cursor;
  CHECK(Cursor.mustList());
  Cursor.onListed(70);
  CHECK_FALSE(Cursor.mustList());
  Cursor.onAnswer(2, 75);
  CHECK(Cursor.revision() == 75);
  Cursor.onAnswer(1, 74);
  CHECK(Cursor.revision() == 75);
}

TEST_CASE("everything is listed after a failed watch") {
  // Guards against a delay: after the store had compacted its history and
  // closed its watches, the next watch waited 5 s for the error that its
  // revision was too old.
  WatchCursor Cursor;
  Cursor.onListed(239);
  Cursor.onFailed();
  CHECK(Cursor.mustList());
}
