#include "FakePlatform.h"

#include "platform/platform.h"

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::platform;
using boost::asio::awaitable;
using carawaypond::http::soon;

namespace {

const std::string ClaimsObject =
    R"({"kind": "service", "name": "claims", "version": 7, "value": {"a": 1}})";

const Object Claims = {
    .Kind = "service", .Name = "claims", .Version = 7, .Value = R"({"a":1})"};

struct Fixture {
  http::Loop Io;
  FakePlatform Fake{Io};
  ObjectClient Client{Io.context().get_executor(), Fake.address()};

  template <typename T> T wait(awaitable<T> Call) {
    std::optional<T> Got;
    bool Done = Io.run(
        [&]() -> awaitable<void> { Got.emplace(co_await std::move(Call)); });
    REQUIRE(Done);
    return std::move(*Got);
  }

  WriteOutcome put(WriteCondition Condition) {
    return wait(
        Client.put("service", "claims", R"({"a":1})", Condition, soon()));
  }
};

} // namespace

TEST_CASE("an object is read with its version") {
  Fixture F;
  F.Fake.answer(200, ClaimsObject);
  Result<Object> Got = F.wait(F.Client.get("service", "claims/1", soon()));
  REQUIRE(Got);
  CHECK(Got.value() == Claims);
  CHECK(F.Fake.Last.Path == "/v1/objects/service/claims%2F1");
  CHECK(F.Client.counts().Gets == 1);
}

TEST_CASE("an error status gives the corresponding error code") {
  Fixture F;
  const std::pair<unsigned, ErrorCode> Expected[] = {
      {404, ErrorCode::NotFound},    {410, ErrorCode::Conflict},
      {413, ErrorCode::TooLarge},    {429, ErrorCode::Unavailable},
      {503, ErrorCode::Unavailable}, {400, ErrorCode::InvalidInput},
      {302, ErrorCode::Malformed}};
  for (auto [Status, Code] : Expected) {
    F.Fake.answer(Status, "{}");
    Result<Object> Got = F.wait(F.Client.get("service", "claims", soon()));
    REQUIRE(!Got);
    CHECK(Got.error().Code == Code);
  }
  CHECK(F.Client.counts().Failed == std::size(Expected));
}

TEST_CASE("a response that is not as documented is malformed") {
  Fixture F;
  for (const char *Body :
       {"", "[]", "{\"kind\":\"service\"}",
        R"({"kind":"k","name":"n","version":-1,"value":{}})",
        R"({"kind":"k","name":"n","version":"7","value":{}})"}) {
    F.Fake.answer(200, Body);
    Result<Object> Got = F.wait(F.Client.get("service", "claims", soon()));
    REQUIRE(!Got);
    CHECK(Got.error().Code == ErrorCode::Malformed);
  }
}

TEST_CASE("a list and a watch return the revision for the next watch") {
  Fixture F;
  F.Fake.answer(200, R"({"revision": 9, "objects": [)" + ClaimsObject + "]}");
  Result<ObjectList> Listed = F.wait(F.Client.list("service", soon()));
  REQUIRE(Listed);
  CHECK(Listed.value() == ObjectList{.Revision = 9, .Objects = {Claims}});
  Result<ObjectList> Changed =
      F.wait(F.Client.watch("service", 8, Milliseconds(500), soon()));
  REQUIRE(Changed);
  CHECK(Changed.value() == Listed.value());
  CHECK(F.Fake.Last.Path == "/v1/watch/service");
  CHECK(F.Fake.Last.queryParameter("after") == "8");
  CHECK(F.Fake.Last.queryParameter("timeout_ms") == "500");
}

TEST_CASE("a write carries its condition and returns the new object") {
  Fixture F;
  F.Fake.answer(200, ClaimsObject);
  WriteOutcome Outcome = F.put(IfVersion{6});
  REQUIRE(std::holds_alternative<Written>(Outcome));
  CHECK(std::get<Written>(Outcome).Now == Claims);
  CHECK(F.Fake.Last.Method == "PUT");
  CHECK(F.Fake.Last.header("If-Match") == "\"6\"");
  CHECK(F.Fake.Last.Body == R"({"a":1})");
  F.put(IfAbsent{});
  CHECK(F.Fake.Last.header("If-None-Match") == "*");
  CHECK(!F.Fake.Last.header("If-Match"));
}

TEST_CASE("a condition that does not hold is a conflict") {
  Fixture F;
  F.Fake.answer(412, R"({"version": 9})");
  WriteOutcome Outcome = F.put(IfVersion{6});
  REQUIRE(std::holds_alternative<Conflict>(Outcome));
  CHECK(std::get<Conflict>(Outcome).CurrentVersion == 9);
  F.Fake.answer(412, "{}");
  CHECK(!std::get<Conflict>(F.put(IfVersion{6})).CurrentVersion);
}

TEST_CASE("a write is refused only if it can't have taken effect") {
  Fixture F;
  for (unsigned Status : {400U, 413U, 429U}) {
    F.Fake.answer(Status, "{}");
    CHECK(std::holds_alternative<Refused>(F.put(IfAbsent{})));
  }
  for (unsigned Status : {500U, 503U, 302U}) {
    F.Fake.answer(Status, "{}");
    CHECK(std::holds_alternative<InDoubt>(F.put(IfAbsent{})));
  }
  F.Fake.answer(200, "not an object");
  CHECK(std::holds_alternative<InDoubt>(F.put(IfAbsent{})));
}

TEST_CASE("a write whose response is lost is in doubt") {
  http::Loop Io;
  http::RawServer Cutting(Io.context());
  ObjectClient Client(Io.context().get_executor(), Cutting.address());
  boost::asio::co_spawn(
      Io.context(),
      Cutting.serve("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"),
      boost::asio::detached);
  bool Done = Io.run([&]() -> awaitable<void> {
    auto Outcome =
        co_await Client.put("service", "claims", "{}", IfAbsent{}, soon());
    CHECK(std::holds_alternative<InDoubt>(Outcome));
  });
  CHECK(Done);
}

TEST_CASE("a write without a listener, and one too large, are refused") {
  http::Loop Io;
  std::string Nobody = http::RawServer(Io.context()).address();
  ObjectClient Client(Io.context().get_executor(), Nobody);
  bool Done = Io.run([&]() -> awaitable<void> {
    auto Outcome =
        co_await Client.put("service", "claims", "{}", IfAbsent{}, soon());
    REQUIRE(std::holds_alternative<Refused>(Outcome));
    CHECK(std::get<Refused>(Outcome).Cause.Code == ErrorCode::NotConnected);
    std::string Large(ObjectClient::MaxValueBytes + 1, ' ');
    Outcome = co_await Client.put("service", "claims", std::move(Large),
                                  IfAbsent{}, soon());
    REQUIRE(std::holds_alternative<Refused>(Outcome));
    CHECK(std::get<Refused>(Outcome).Cause.Code == ErrorCode::TooLarge);
  });
  CHECK(Done);
}

TEST_CASE("the VM list distinguishes live VMs from leaving ones") {
  http::Loop Io;
  FakePlatform Fake(Io);
  VmListClient Client(Io.context().get_executor(), Fake.address());
  Fake.answer(200, R"({"vms": [
    {"name": "vm-1", "data_centre": "umea-a", "address": "127.0.0.1:1",
     "state": "live"},
    {"name": "vm-2", "data_centre": "umea-b", "address": "127.0.0.1:2",
     "state": "leaving"}]})");
  bool Done = Io.run([&]() -> awaitable<void> {
    auto Listed = co_await Client.list(soon());
    REQUIRE(Listed);
    REQUIRE(Listed.value().size() == 2);
    CHECK(Listed.value()[0].Name == VmName("vm-1"));
    CHECK(!Listed.value()[0].Leaving);
    CHECK(Listed.value()[1].Centre == DataCentre("umea-b"));
    CHECK(Listed.value()[1].Leaving);
  });
  CHECK(Done);
}
