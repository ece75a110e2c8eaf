#include "coordination/model/JsonReader.h"

#include "coordination/model/JsonText.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

const nlohmann::json EmptyArray = nlohmann::json::array();
const nlohmann::json EmptyObject = nlohmann::json::object();
constexpr std::size_t MaxShownValue = 80; // bytes

std::string formatValue(const nlohmann::json &Value,
                        JsonReader::Quoting Quoted) {
  if (Quoted == JsonReader::Quoting::TypesOnly)
    return std::string("value of type ").append(Value.type_name());
  std::string Text =
      Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Text.size() <= MaxShownValue)
    return Text;
  return Text.substr(0, MaxShownValue).append("...");
}

std::string describeNonObject(const nlohmann::json &Value,
                              JsonReader::Quoting Quoted) {
  if (Value.is_discarded())
    return "is not JSON of at most " + std::to_string(MaxJsonDepth) + " levels";
  return formatValue(Value, Quoted) + " is not an object";
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &Object, std::string Path,
                       Quoting Quoted)
    : m_Object(Object), m_Path(std::move(Path)), m_Quoting(Quoted) {
  if (!m_Object.is_object())
    m_Error = Error{.Code = ErrorCode::InvalidInput,
                    .Message = (m_Path.empty() ? "/" : m_Path) + ": " +
                               describeNonObject(m_Object, m_Quoting)};
}

std::string JsonReader::pathOf(std::string_view Key) const {
  return m_Path + "/" + std::string(Key);
}

bool JsonReader::has(std::string_view Key) const { return find(Key); }

const nlohmann::json *JsonReader::find(std::string_view Key) const {
  if (!m_Object.is_object())
    return nullptr;
  auto Found = m_Object.find(Key);
  return Found == m_Object.end() ? nullptr : &*Found;
}

void JsonReader::fail(std::string_view Key, const std::string &What) {
  if (m_Error)
    return;
  const nlohmann::json *Value = find(Key);
  std::string Given = Value ? formatValue(*Value, m_Quoting) + " " : "";
  m_Error = Error{.Code = ErrorCode::InvalidInput,
                  .Message = pathOf(Key) + ": " + Given + What};
}

void JsonReader::adopt(const JsonReader &Nested) {
  if (!m_Error)
    m_Error = Nested.m_Error;
}

std::string JsonReader::string(std::string_view Key, std::size_t MinLength,
                               std::size_t MaxLength) {
  const nlohmann::json *Value = find(Key);
  if (!Value) {
    fail(Key, "is missing; a string is needed");
    return {};
  }
  if (!Value->is_string()) {
    fail(Key, "is not a string");
    return {};
  }
  auto Text = Value->get<std::string>();
  if (Text.size() < MinLength || Text.size() > MaxLength) {
    fail(Key, "must have " + std::to_string(MinLength) + " to " +
                  std::to_string(MaxLength) + " bytes");
    return {};
  }
  return Text;
}

std::uint64_t JsonReader::integer(std::string_view Key, std::uint64_t Min,
                                  std::uint64_t Max) {
  if (!has(Key)) {
    fail(Key, "is missing; an integer is needed");
    return Min;
  }
  return integerOr(Key, Min, Max, Min);
}

std::uint64_t JsonReader::integerOr(std::string_view Key, std::uint64_t Min,
                                    std::uint64_t Max, std::uint64_t Default) {
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Default;
  bool InRange = Value->is_number_unsigned() &&
                 Value->get<std::uint64_t>() >= Min &&
                 Value->get<std::uint64_t>() <= Max;
  if (!InRange) {
    fail(Key, "must be an integer from " + std::to_string(Min) + " to " +
                  std::to_string(Max));
    return Default;
  }
  return Value->get<std::uint64_t>();
}

double JsonReader::numberOr(std::string_view Key, double Min, double Max,
                            double Default) {
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Default;
  bool InRange = Value->is_number() && Value->get<double>() >= Min &&
                 Value->get<double>() <= Max;
  if (!InRange) {
    fail(Key, "must be a number from " + std::to_string(Min) + " to " +
                  std::to_string(Max));
    return Default;
  }
  return Value->get<double>();
}

bool JsonReader::booleanOr(std::string_view Key, bool Default) {
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Default;
  if (!Value->is_boolean()) {
    fail(Key, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

const nlohmann::json &JsonReader::array(std::string_view Key) {
  const nlohmann::json *Value = find(Key);
  if (Value && Value->is_array())
    return *Value;
  fail(Key, Value ? "is not an array" : "is missing; an array is needed");
  return EmptyArray;
}

const nlohmann::json &JsonReader::object(std::string_view Key) {
  const nlohmann::json *Value = find(Key);
  if (Value && Value->is_object())
    return *Value;
  fail(Key, Value ? "is not an object" : "is missing; an object is needed");
  return EmptyObject;
}

void JsonReader::allowOnly(std::initializer_list<std::string_view> Known) {
  if (!m_Object.is_object())
    return;
  for (const auto &[Key, Value] : m_Object.items()) {
    bool IsKnown = std::find(Known.begin(), Known.end(), Key) != Known.end();
    if (!IsKnown)
      fail(Key, "is not a known field");
  }
}

} // namespace carawaypond
