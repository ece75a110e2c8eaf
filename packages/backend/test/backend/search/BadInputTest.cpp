#include "backend/search/SearchCodec.h"
#include "coordination/model/Mutation.h"
#include "http/Response.h"

#include <doctest/doctest.h>

#include <string>

using namespace carawaypond;
using namespace carawaypond::backend;

namespace {

const std::string ValidAnswer =
    R"({"id": "vm-1.7.3", "service": "claims", "shard": 2, "version": 41,
        "layout": 1, "ran": true, "count": 1, "records": [{"id": "C-1"}],
        "oldest": 39, "newest": 42, "draining": false})";
const std::string ValidStatus =
    R"({"server": "s-1", "draining": false,
        "shards": [{"service": "claims", "shard": 2,
                    "versions": [{"layout": 1, "oldest": 39, "newest": 42}]}]})";

SearchRequest asked() {
  SearchRequest Search;
  Search.Id = "vm-1.7.3";
  Search.Service = ServiceName("claims");
  Search.Shard = ShardId(2);
  Search.Version = IndexVersion(41);
  Search.Layout = 1;
  return Search;
}

SearchOutcome decode(unsigned Status, const std::string &Body) {
  return decodeSearch(asked(), {.Status = Status, .Body = Body});
}

/// @brief A refusal states that nothing ran, so only a body that says so for
/// this subrequest may be decoded as one.
void checkRefusal(const std::string &Body) {
  if (!std::holds_alternative<SearchRefused>(decode(503, Body)))
    return;
  RC_ASSERT(Body.find("false") != std::string::npos);
  RC_ASSERT(Body.find("vm-1.7.3") != std::string::npos);
}

} // namespace

TEST_CASE("a response that is not for the requested subrequest is in doubt") {
  REQUIRE(std::holds_alternative<SearchAnswer>(decode(200, ValidAnswer)));
  CHECK(rc::check("mutated answers", [] {
    std::string Body = *mutationsOf(ValidAnswer);
    SearchOutcome Outcome = decode(200, Body);
    bool IsAnswer = std::holds_alternative<SearchAnswer>(Outcome);
    RC_ASSERT(IsAnswer || std::holds_alternative<SearchInDoubt>(Outcome));
    RC_ASSERT(!IsAnswer || Body.find("vm-1.7.3") != std::string::npos);
  }));
  CHECK(rc::check("any bytes", [](const std::string &Body) {
    RC_ASSERT(std::holds_alternative<SearchInDoubt>(decode(200, Body)));
  }));
}

TEST_CASE("a refusal counts only when it says that nothing ran") {
  const std::string Valid =
      R"({"id": "vm-1.7.3", "ran": false, "reason": "shed"})";
  REQUIRE(std::holds_alternative<SearchRefused>(decode(503, Valid)));
  CHECK(rc::check("mutated refusals",
                  [&] { checkRefusal(*mutationsOf(Valid)); }));
}

TEST_CASE("a response nested beyond the maximum depth is in doubt") {
  std::string Deep = R"({"id": )" + std::string(500'000, '[') +
                     std::string(500'000, ']') + "}";
  CHECK(std::holds_alternative<SearchInDoubt>(decode(200, Deep)));
}

TEST_CASE("a status with any bytes is either decoded or rejected") {
  REQUIRE(decodeStatus({.Status = 200, .Body = ValidStatus}));
  CHECK(rc::check("mutated statuses", [] {
    std::string Body = *mutationsOf(ValidStatus);
    Result<ServerStatus> Status = decodeStatus({.Status = 200, .Body = Body});
    bool NamesPath = Status || Status.error().Message.starts_with("/");
    bool NamesText =
        Status || Status.error().Message.starts_with("status answer 200");
    RC_ASSERT(NamesPath || NamesText);
  }));
}
