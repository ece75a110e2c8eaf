#include "coordination/model/JsonText.h"
#include "coordination/model/JsonReader.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

} // namespace

TEST_CASE("JSON text is accepted up to the maximum depth") {
  CHECK(parseJsonText(nested(MaxJsonDepth)).is_array());
  CHECK(parseJsonText(nested(MaxJsonDepth + 1)).is_discarded());
  CHECK(parseJsonText(nested(1'000'000)).is_discarded());
}

TEST_CASE("brackets in strings do not count as levels") {
  std::string Text = R"({"a\"[": ")" + std::string(1000, '[') + R"("})";
  CHECK(parseJsonText(Text).is_object());
}

TEST_CASE("text that could not be parsed is reported as such") {
  nlohmann::json Value = parseJsonText("{");
  JsonReader Reader(Value, "");
  REQUIRE(Reader.error());
  CHECK(Reader.error()->Message == "/: is not JSON of at most 64 levels");
}
