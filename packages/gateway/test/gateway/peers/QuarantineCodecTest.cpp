#include "gateway/peers/QuarantineCodec.h"
#include "gateway/peers/Heartbeat.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::gateway;
using nlohmann::json;

namespace {

constexpr std::size_t MaxDatagram = 1'400; ///< Bytes of a heartbeat.

QuarantineReport makeReport() {
  QuarantineReport Told{.Content = ContentHash(UINT64_MAX)};
  for (std::uint32_t I = 0; I < 8; ++I)
    Told.Crashes.push_back({.Replica = ReplicaHash(UINT32_MAX - I),
                            .Request = RequestHash(UINT32_MAX),
                            .Age = Milliseconds(900'000 - I)});
  Told.SurvivedAge = Milliseconds(900'000);
  return Told;
}

Heartbeat makeLongest() {
  const std::string Name(20, 'v');
  const std::string Address = "255.255.255.255:65535";
  Heartbeat Sent;
  Sent.Vm.Record = {.Name = VmName(Name),
                    .IncarnationNumber = Incarnation(1'775'454'481'016'963),
                    .Centre = DataCentre(std::string(12, 'c')),
                    .PeerAddress = Address,
                    .CallerAddress = Address};
  Sent.ReplicaRevision = StoreRevision(1'000'000'000, StoreEra(9));
  Sent.EvacuationRevision = Sent.ReplicaRevision;
  Sent.Contact = ContactAge{.Since = Milliseconds(999'999'999),
                            .Until = Milliseconds(9'999),
                            .Era = StoreEra(9),
                            .FollowsRestore = true};
  Sent.Allocator =
      AllocatorRecord{.Vm = VmName(Name),
                      .IncarnationNumber = Sent.Vm.Record.IncarnationNumber,
                      .Address = Address,
                      .Term = 99'999,
                      .IsSettled = true,
                      .Era = StoreEra(9),
                      .Renewal = 99'999};
  Sent.SlowAnswers.assign(
      8, {.Replica = ServerName("i-0123456789"), .Age = Milliseconds(60'000)});
  Sent.Quarantine.assign(MaxQuarantineReports, makeReport());
  return Sent;
}

} // namespace

TEST_CASE("a heartbeat passes on the newest crashes, and fits a datagram") {
  std::string Text = encodeHeartbeat(makeLongest());
  CHECK(Text.size() <= MaxDatagram);
  auto Read = decodeHeartbeat(Text);
  REQUIRE(Read);
  REQUIRE(Read->Quarantine.size() == MaxQuarantineReports);
  const QuarantineReport &First = Read->Quarantine.front();
  CHECK(First.Content == ContentHash(UINT64_MAX));
  REQUIRE(First.Crashes.size() == 4);
  CHECK(First.Crashes.back() == makeReport().Crashes.back());
  CHECK(First.SurvivedAge == Milliseconds(900'000));
}

TEST_CASE("a malformed report loses no heartbeat and no other report") {
  json Good;
  addQuarantine(Good, {makeReport()});
  for (const char *Odd :
       {"1", "{}", R"({"content": -1, "crashes": []})",
        R"({"content": 1, "crashes": [[1, 2]]})",
        R"({"content": 1, "crashes": [[1, 2, 1e99]]})",
        R"({"content": 1, "crashes": [], "survived_ms": "x"})"}) {
    json Body = Good;
    Body["quarantine"].insert(Body["quarantine"].begin(), json::parse(Odd));
    CHECK(readQuarantine(Body).size() == 1);
  }
  CHECK(readQuarantine(json::parse(R"({"quarantine": 7})")).empty());
}
