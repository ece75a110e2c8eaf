#include "coordination/model/StoredService.h"

#include "coordination/model/JsonReader.h"

#include <limits>

namespace carawaypond {

namespace {

constexpr std::uint64_t MaxU64 = std::numeric_limits<std::uint64_t>::max();

} // namespace

Result<StoredService> parseStoredService(const nlohmann::json &Value) {
  JsonReader Reader(Value, "");
  StoredService Stored;
  Stored.Version = ConfigVersion(Reader.integer("version", 1, MaxU64));
  Stored.Submission = SubmissionId(Reader.string("submission"));
  Stored.Deleted = Reader.booleanOr("deleted", false);
  const nlohmann::json &History = Reader.array("history");
  for (std::size_t I = 0; I < History.size(); ++I) {
    JsonReader Item(History[I], "/history/" + std::to_string(I));
    Stored.History.push_back(
        {.Version = ConfigVersion(Item.integer("version", 1, MaxU64)),
         .Submission = SubmissionId(Item.string("submission"))});
    Reader.adopt(Item);
  }
  const nlohmann::json &Content = Reader.object("content");
  if (Reader.error())
    return failure(ErrorCode::Malformed, Reader.error()->Message);
  Result<ServiceConfig> Config = parseServiceConfig(Content);
  if (!Config)
    return failure(ErrorCode::Malformed, "/content" + Config.error().Message);
  Stored.Content = std::move(Config.value());
  return Stored;
}

nlohmann::json toJson(const StoredService &Stored) {
  nlohmann::json History = nlohmann::json::array();
  for (const AppliedSubmission &Applied : Stored.History)
    History.push_back({{"version", Applied.Version.value()},
                       {"submission", Applied.Submission.value()}});
  return {{"version", Stored.Version.value()},
          {"submission", Stored.Submission.value()},
          {"deleted", Stored.Deleted},
          {"content", toJson(Stored.Content)},
          {"history", std::move(History)}};
}

} // namespace carawaypond
