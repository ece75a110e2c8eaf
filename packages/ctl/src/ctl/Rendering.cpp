#include "ctl/Rendering.h"

#include "ctl/Table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace carawaypond::ctl {

using Json = nlohmann::json;

namespace {

constexpr int ContentIndent = 2;

std::string renderCell(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool isTable(const Json &Value) {
  return Value.is_array() && !Value.empty() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const Json &Row) { return Row.is_object(); });
}

std::vector<std::string> columnsOf(const Json &Rows) {
  std::vector<std::string> Columns;
  for (const Json &Row : Rows)
    for (const auto &Field : Row.items())
      if (std::find(Columns.begin(), Columns.end(), Field.key()) ==
          Columns.end())
        Columns.push_back(Field.key());
  return Columns;
}

std::string renderTable(const Json &Rows) {
  std::vector<std::string> Columns = columnsOf(Rows);
  Table Printed(Columns);
  for (const Json &Row : Rows) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const std::string &Column : Columns)
      Cells.push_back(Row.contains(Column) ? renderCell(Row[Column]) : "-");
    Printed.add(std::move(Cells));
  }
  return Printed.print();
}

/// @return The field, or null if @p Object is not an object or lacks it.
Json fieldOf(const Json &Object, const char *Key) {
  return Object.is_object() ? Object.value(Key, Json()) : Json();
}

std::string renderClasses(const Json &Classes) {
  std::string Text;
  for (const Json &Class : Classes)
    Text += (Text.empty() ? "" : ",") + renderCell(fieldOf(Class, "name"));
  return Text;
}

/// @brief Renders a list of services with only the fields that fit on a line.
std::string renderServices(const Json &Services) {
  Table Printed({"service", "version", "index", "classes"});
  for (const Json &Service : Services) {
    Json Content = fieldOf(Service, "content");
    Printed.add({renderCell(fieldOf(Service, "service")),
                 renderCell(fieldOf(Service, "version")),
                 renderCell(fieldOf(Content, "index")),
                 renderClasses(fieldOf(Content, "classes"))});
  }
  return Printed.print();
}

std::string renderField(const std::string &Key, const Json &Value) {
  if (Key == "services" && isTable(Value) && Value[0].contains("content"))
    return renderServices(Value);
  if (isTable(Value))
    return Key + ":\n" + renderTable(Value);
  if (Key == "content")
    return Key + ":\n" +
           Value.dump(ContentIndent, ' ', false,
                      Json::error_handler_t::replace) +
           "\n";
  return Key + ": " + renderCell(Value) + "\n";
}

} // namespace

std::string renderAnswer(const Json &Body) {
  if (isTable(Body))
    return renderTable(Body);
  if (!Body.is_object())
    return renderCell(Body) + "\n";
  std::string Text;
  for (const auto &Field : Body.items())
    if (!isTable(Field.value()))
      Text += renderField(Field.key(), Field.value());
  for (const auto &Field : Body.items())
    if (isTable(Field.value()))
      Text += renderField(Field.key(), Field.value());
  return Text;
}

} // namespace carawaypond::ctl
