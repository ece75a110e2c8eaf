#include "ctl/ConfigReport.h"

#include "adapter/ConfigCodec.h"
#include "adapter/ConfigPath.h"
#include "coordination/check/ConfigCheck.h"
#include "coordination/check/ConfigDifference.h"
#include "coordination/model/JsonText.h"
#include "ctl/Reports.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace carawaypond::ctl {

using Json = nlohmann::json;

namespace {

constexpr const char *ErrorName = "error";
constexpr const char *ContradictionName = "contradiction";

const char *nameOf(Severity Level) {
  switch (Level) {
  case Severity::Error:
    return ErrorName;
  case Severity::Contradiction:
    return ContradictionName;
  case Severity::Warning:
    return "warning";
  case Severity::Change:
    return "change";
  }
  return "";
}

Json toJson(const char *Level, const std::string &Place,
            const std::string &Message) {
  return {{"severity", Level}, {"place", Place}, {"message", Message}};
}

void append(Json &Rows, const std::vector<Finding> &Findings) {
  for (const Finding &Each : Findings)
    Rows.push_back(toJson(nameOf(Each.Level), adapter::configPath(Each.Place),
                          Each.Message));
}

/// @brief Converts an error of the decoder, "PLACE: MESSAGE".
Json toJson(const Error &Cause) {
  constexpr std::string_view Separator = ": ";
  std::size_t End = Cause.Message.find(Separator);
  if (End == std::string::npos)
    return toJson(ErrorName, "/", Cause.Message);
  return toJson(ErrorName, Cause.Message.substr(0, End),
                Cause.Message.substr(End + Separator.size()));
}

std::size_t countOf(const Json &Rows, const char *Level) {
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [Level](const Json &Each) {
        return Each["severity"] == Level;
      }));
}

std::string toText(const Json &Rows) {
  std::string Text;
  for (const Json &Each : Rows)
    Text.append(Each["severity"].get_ref<const std::string &>())
        .append(" ")
        .append(Each["place"].get_ref<const std::string &>())
        .append(": ")
        .append(Each["message"].get_ref<const std::string &>())
        .append("\n");
  return Text;
}

Report makeReport(const Json &Rows) {
  std::size_t Errors = countOf(Rows, ErrorName);
  std::size_t Contradictions = countOf(Rows, ContradictionName);
  Json Body = {{"errors", Errors},
               {"contradictions", Contradictions},
               {"findings", Rows}};
  return {.Code =
              Errors + Contradictions > 0 ? ExitCode::Findings : ExitCode::Ok,
          .Raw = Body.dump(-1, ' ', false, Json::error_handler_t::replace),
          .Text = toText(Rows)};
}

} // namespace

Report configReport(const std::string &Document,
                    const std::optional<std::string> &InForce) {
  auto Checked = adapter::decodeConfig(parseJsonText(Document));
  if (!Checked)
    return makeReport(Json::array({toJson(Checked.error())}));
  Json Rows = Json::array();
  append(Rows, ConfigCheck(Checked.value()).findings());
  if (!InForce)
    return makeReport(Rows);
  auto Compared = adapter::decodeConfig(parseJsonText(*InForce));
  if (!Compared)
    return failureReport(ExitCode::Usage, "usage",
                         std::string("the document in force, ")
                             .append(Compared.error().Message));
  append(Rows, ConfigDifference(Compared.value(), Checked.value()).findings());
  return makeReport(Rows);
}

} // namespace carawaypond::ctl
