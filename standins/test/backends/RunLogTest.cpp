#include "backends/log/RunLog.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond::standins;

namespace {

RunLogEntry entry(RunEvent Event, std::string Token, std::uint32_t Shard = 0) {
  return {.Seq = 0,
          .Id = "id",
          .Token = std::move(Token),
          .Service = "claims",
          .Server = "s-1",
          .Reason = {},
          .Shard = Shard,
          .Event = Event};
}

nlohmann::json after(const RunLog &Log, std::uint64_t Seq, std::size_t Limit) {
  return nlohmann::json::parse(Log.entriesAfter(Seq, Limit));
}

} // namespace

TEST_CASE("the log can be read from any sequence number and drops the oldest "
          "entries") {
  RunLog Log(3);
  for (int I = 0; I < 5; ++I)
    Log.add(entry(RunEvent::Received, ""));
  nlohmann::json All = after(Log, 0, 10);
  CHECK(All["first"] == 3);
  CHECK(All["next"] == 5);
  CHECK(All["entries"].size() == 3);
  nlohmann::json Some = after(Log, 3, 1);
  CHECK(Some["entries"][0]["seq"] == 4);
  CHECK(Some["next"] == 4);
  CHECK(after(Log, 9, 10)["entries"].empty());
  CHECK(after(Log, 5, 10)["entries"].empty());
  CHECK(after(Log, 5, 10)["next"] == 5);
}

TEST_CASE("only started subrequests count as runs of a shard") {
  RunLog Log;
  Log.add(entry(RunEvent::Received, "t"));
  Log.add(entry(RunEvent::Refused, "t"));
  CHECK(Log.runsOf("t")["runs"] == 0);
  Log.add(entry(RunEvent::Started, "t", 0));
  Log.add(entry(RunEvent::Started, "t", 1));
  Log.add(entry(RunEvent::Started, "t", 1));
  nlohmann::json Runs = Log.runsOf("t");
  CHECK(Runs["runs"] == 3);
  CHECK(Runs["shards"][1]["runs"] == 2);
}
