#include "daemon/settings/Settings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::daemon;

namespace {

nlohmann::json validSettings() {
  return nlohmann::json::parse(R"({
    "vm": "vm-1", "data_centre": "umea-a",
    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
               "peers": "127.0.0.1:0"},
    "platform": "127.0.0.1:7000"})");
}

std::string errorOf(const nlohmann::json &Value) {
  Result<Settings> Parsed = parseSettings(Value);
  return Parsed ? std::string() : Parsed.error().Message;
}

} // namespace

TEST_CASE("settings without the optional parts get the default policy") {
  Result<Settings> Parsed = parseSettings(validSettings());
  REQUIRE(Parsed);
  CHECK(Parsed.value().Policy.Route == RoutePolicy::OwnerOfShard);
  CHECK(Parsed.value().Policy.Hedge);
}

TEST_CASE("the error for an invalid setting contains its path, its value and "
          "what is allowed") {
  nlohmann::json Value = validSettings();
  Value["listen"]["peers"] = "localhost:1";
  CHECK(errorOf(Value).find("/listen/peers: \"localhost:1\" must be an IP "
                            "address and a port") == 0);
}

TEST_CASE("an unknown setting is refused") {
  nlohmann::json Value = validSettings();
  Value["polcy"] = nlohmann::json::object();
  CHECK(errorOf(Value) == "/polcy: {} is not a known field");
}

TEST_CASE("an unknown route is refused") {
  nlohmann::json Value = validSettings();
  Value["policy"] = {{"route", "random"}};
  CHECK(errorOf(Value).find("/policy/route: \"random\" must be") == 0);
}

TEST_CASE("a missing settings file is reported as not found") {
  Result<Settings> Loaded = loadSettings("no-such-file.json");
  REQUIRE(!Loaded);
  CHECK(Loaded.error().Code == ErrorCode::NotFound);
}
