#include "coordination/model/JsonSlices.h"

#include "coordination/model/JsonText.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace carawaypond;

TEST_CASE("an object is cut into its members") {
  auto Members =
      splitJsonObject(R"( {"a" : [1,{"b":"}"}] , "c\"d":"x,y","a":2} )");
  REQUIRE(Members);
  REQUIRE(Members->size() == 3);
  CHECK((*Members)[0].Value == R"([1,{"b":"}"}])");
  CHECK((*Members)[1].Key == R"(c\"d)");
  CHECK((*Members)[1].Value == R"("x,y")");
  CHECK(valueOf(*Members, "a") == "2");
  CHECK(valueOf(*Members, "none").empty());
  CHECK(splitJsonObject("{}")->empty());
}

TEST_CASE("an array is cut into its elements, whatever they hold") {
  auto Elements = splitJsonArray(R"([1e999, "a,]", {"b":[nonsense]}, ])");
  REQUIRE(Elements);
  REQUIRE(Elements->size() == 4);
  CHECK((*Elements)[0] == "1e999");
  CHECK((*Elements)[2] == R"({"b":[nonsense]})");
  CHECK((*Elements)[3].empty());
  CHECK(splitJsonArray("[ ]")->empty());
}

TEST_CASE("text whose brackets or quotes do not match is not cut") {
  for (const char *Odd : {"", "7", "{", "{]", "[}", R"({"a":[})", R"({"a":"x})",
                          R"({"a":1}})", R"({"a\)"})
    CHECK_FALSE(splitJsonObject(Odd));
  for (const char *Odd : {"", "[", "[[]", "[]]", R"(["])", "{}"})
    CHECK_FALSE(splitJsonArray(Odd));
}

TEST_CASE("the members of a valid object are those that a parser finds") {
  CHECK(rc::check([](const std::map<std::string, std::vector<int>> &Values) {
    nlohmann::json Object = nlohmann::json::object();
    for (const auto &[Key, Value] : Values)
      Object[std::to_string(std::hash<std::string>{}(Key))] = Value;
    std::string Text = Object.dump(*rc::gen::inRange(-1, 3));
    auto Members = splitJsonObject(Text);
    RC_ASSERT(Members);
    RC_ASSERT(Members->size() == Object.size());
    for (const JsonMember &Each : *Members)
      RC_ASSERT(parseJsonText(Each.Value) == Object[std::string(Each.Key)]);
  }));
}
