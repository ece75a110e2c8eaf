#include "coordination/watch/WatchCursor.h"

#include <doctest/doctest.h>

using namespace carawaypond;

TEST_CASE("an answer without changes does not move the cursor") {
  // Seen on a day on which the store went deaf for a second: the watch timed
  // out with a revision beyond a change that it had not told.
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

TEST_CASE("everything is listed after a watch that failed") {
  // Seen when the store had dropped its history and cut its watchers: the next
  // watch waited 5 s for the news that its revision was too old.
  WatchCursor Cursor;
  Cursor.onListed(239);
  Cursor.onFailed();
  CHECK(Cursor.mustList());
}
