#include "LoadPlan.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace carawaypond::bench {

namespace {

std::string queryBody(const nlohmann::json &Value) {
  nlohmann::json Query = {{"service", Value.at("service")},
                          {"class", Value.at("class")},
                          {"request", Value.at("request")},
                          {"deadline_ms", Value.at("deadline_ms")},
                          {"repeatable", true}};
  return Query.dump();
}

LoadStream toStream(const nlohmann::json &Value) {
  return {.Name = Value.at("name"),
          .Service = Value.at("service"),
          .Class = Value.at("class"),
          .Rate = Value.at("rate"),
          .Deadline = Milliseconds(Value.at("deadline_ms").get<int>()),
          .Body = queryBody(Value)};
}

LoadPlan toPlan(const nlohmann::json &Value) {
  LoadPlan Plan{.Vms = Value.at("vms"),
                .Seed = Value.at("seed"),
                .WarmUp = Milliseconds(Value.at("warm_up_ms").get<int>()),
                .Length = Milliseconds(Value.at("length_ms").get<int>())};
  for (const nlohmann::json &Stream : Value.at("streams"))
    Plan.Streams.push_back(toStream(Stream));
  return Plan;
}

} // namespace

Result<LoadPlan> loadPlan(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return failure(ErrorCode::NotFound, "plan \"" + Path + "\" can't be read");
  LoadPlan Plan;
  try {
    Plan = toPlan(nlohmann::json::parse(File));
  } catch (const nlohmann::json::exception &Failed) {
    return failure(ErrorCode::InvalidInput,
                   "plan \"" + Path + "\": " + Failed.what());
  }
  for (const LoadStream &Stream : Plan.Streams)
    if (!(Stream.Rate > 0))
      return failure(ErrorCode::InvalidInput,
                     "plan \"" + Path + "\": stream \"" + Stream.Name +
                         "\": rate must be above 0");
  return Plan;
}

} // namespace carawaypond::bench
