#include "coordination/model/IndexObject.h"
#include "coordination/model/JsonText.h"
#include "coordination/model/Mutation.h"
#include "coordination/model/ServiceConfig.h"
#include "daemon/settings/Settings.h"
#include "daemon/traffic/QueryRequest.h"
#include "daemon/traffic/QueryResponse.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace carawaypond;
using namespace carawaypond::daemon;

namespace {

const std::string ValidQuery =
    R"({"service": "claims", "class": "interactive", "request": {"match": "é"},
        "deadline_ms": 110, "repeatable": false, "ticket": "vm-1.7.3"})";
const std::string ValidSettings =
    R"({"vm": "vm-1", "data_centre": "umea-a", "platform": "127.0.0.1:7000",
        "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
                   "peers": "127.0.0.1:0"},
        "policy": {"route": "direct"}, "callers": {"connections": 10},
        "log": {"level": "info"}, "seeds": ["127.0.0.1:1"]})";
const std::string ValidService =
    R"({"name": "claims", "index": "claims",
        "classes": [{"name": "interactive", "share": 0.8, "deadline_ms": 110}],
        "limits": {"concurrent_queries": 200, "request_bytes": 65536},
        "extra_load": {"ratio": 0.05, "burst": 10}, "hedge_quantile": 0.95})";
const std::string ValidIndex =
    R"({"name": "claims",
        "servers": [{"name": "s-1", "address": "127.0.0.1:1", "slots": 2,
                     "data_centre": "a", "connections": 25,
                     "state": "serving"}],
        "layouts": [{"layout": 1, "from_version": 1,
                     "shards": [{"shard": 0, "replicas": ["s-1"]}]}]})";

Result<QueryRequest> readQuery(const std::string &Text) {
  return parseQueryRequest(Text);
}

Result<Settings> readSettings(const std::string &Text) {
  return parseSettings(parseJsonText(Text));
}

Result<ServiceConfig> readService(const std::string &Text) {
  return parseServiceConfig(parseJsonText(Text));
}

Result<IndexObject> readIndex(const std::string &Text) {
  return parseIndexObject(parseJsonText(Text), 1);
}

/// @brief Checks that @p Text is either parsed, or refused with a message that
/// names a JSON path or says that the text is not JSON.
template <typename Read>
void checkVerdict(Read Reader, const std::string &Text) {
  auto Parsed = Reader(Text);
  if (Parsed)
    return;
  const std::string &Message = Parsed.error().Message;
  bool NamesPath = Message.starts_with("/");
  bool NamesText = Message.starts_with("the body is not JSON");
  RC_ASSERT(NamesPath || NamesText);
}

template <typename Read>
void checkReader(Read Reader, const std::string &Valid) {
  REQUIRE(Reader(Valid));
  CHECK(rc::check("mutated documents",
                  [&] { checkVerdict(Reader, *mutationsOf(Valid)); }));
  CHECK(rc::check("any bytes", [&](const std::string &Text) {
    checkVerdict(Reader, Text);
  }));
}

} // namespace

TEST_CASE("a query of arbitrary bytes is parsed or refused") {
  checkReader(readQuery, ValidQuery);
}

TEST_CASE("settings of arbitrary bytes are parsed or refused") {
  checkReader(readSettings, ValidSettings);
}

TEST_CASE("a service's content of arbitrary bytes is parsed or refused") {
  checkReader(readService, ValidService);
}

TEST_CASE("an index object of arbitrary bytes is parsed or refused") {
  checkReader(readIndex, ValidIndex);
}

TEST_CASE("a query nested deeper than the limit is refused") {
  std::string Deep = R"({"service": )" + std::string(500'000, '[') +
                     std::string(500'000, ']') + "}";
  Result<QueryRequest> Parsed = parseQueryRequest(Deep);
  REQUIRE(!Parsed);
  CHECK(Parsed.error().Message == "the body is not JSON of at most 64 levels");
}

TEST_CASE("a refusal quotes text that is not UTF-8 without failing") {
  http::Response Refused = notRun(404, "not_found", "no such call: /v1/\xff");
  CHECK(nlohmann::json::parse(Refused.Body)["outcome"] == "not_run");
}

TEST_CASE(
    "a refusal quotes a value that is truncated inside a UTF-8 character") {
  std::string Long(79, 'x');
  for (int I = 0; I < 20; ++I)
    Long += "é";
  Result<QueryRequest> Parsed =
      parseQueryRequest(R"({"deadline_ms": ")" + Long + R"("})");
  REQUIRE(!Parsed);
  http::Response Refused = notRun(400, "malformed", Parsed.error().Message);
  CHECK(nlohmann::json::parse(Refused.Body)["reason"] == "malformed");
}
