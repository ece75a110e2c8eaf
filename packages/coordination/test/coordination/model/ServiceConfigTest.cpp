#include "coordination/model/ServiceConfig.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;

namespace {

nlohmann::json validContent() {
  return nlohmann::json::parse(R"({
    "name": "claims", "index": "claims",
    "classes": [{"name": "interactive", "share": 0.8, "deadline_ms": 110}]})");
}

} // namespace

TEST_CASE("a service's content is unchanged by writing and reading") {
  Result<ServiceConfig> Config = parseServiceConfig(validContent());
  REQUIRE(Config);
  CHECK(parseServiceConfig(toJson(Config.value())).value() == Config.value());
}

TEST_CASE(
    "the error for an invalid field has its path, value and allowed range") {
  nlohmann::json Content = validContent();
  Content["classes"][0]["share"] = 7;
  Result<ServiceConfig> Config = parseServiceConfig(Content);
  REQUIRE(!Config);
  CHECK(Config.error().Message.find("/classes/0/share: 7 must be a number "
                                    "from 0.001") != std::string::npos);
}

TEST_CASE("an unknown field is rejected") {
  nlohmann::json Content = validContent();
  Content["limit"] = 1;
  REQUIRE(!parseServiceConfig(Content));
}

TEST_CASE("a duplicate class is rejected") {
  nlohmann::json Content = validContent();
  Content["classes"].push_back(Content["classes"][0]);
  REQUIRE(!parseServiceConfig(Content));
}
