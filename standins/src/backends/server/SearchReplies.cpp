#include "backends/server/SearchReplies.h"

#include "common/Replies.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace carawaypond::standins {

namespace {

const char *nameOf(CancelState State) {
  switch (State) {
  case CancelState::NotStarted:
    return "not_started";
  case CancelState::Running:
    return "running";
  case CancelState::Done:
    return "done";
  case CancelState::Unknown:
    return "unknown";
  }
  return "";
}

nlohmann::json toJson(const std::vector<VersionRange> &Ranges) {
  nlohmann::json Array = nlohmann::json::array();
  for (const VersionRange &Range : Ranges)
    Array.push_back({{"layout", Range.Layout},
                     {"oldest", Range.Oldest.value()},
                     {"newest", Range.Newest.value()}});
  return Array;
}

} // namespace

HttpReply recordsReply(const SearchRequest &Request, const RecordSet &Found,
                       const ReplicaWindow &Window, bool Draining) {
  std::string Body = R"({"id":)" + nlohmann::json(Request.Id).dump();
  Body += R"(,"service":)" + nlohmann::json(Request.Service).dump();
  Body += R"(,"shard":)" + std::to_string(Request.Shard.value());
  Body += R"(,"version":)" + std::to_string(Request.Version.value());
  Body += R"(,"layout":)" + std::to_string(Request.Layout);
  Body += R"(,"ran":true,"count":)" + std::to_string(Found.Count);
  Body += R"(,"records":)" + Found.Json;
  Body += R"(,"oldest":)" + std::to_string(Window.oldest().value());
  Body += R"(,"newest":)" + std::to_string(Window.newest().value());
  Body += R"(,"draining":)";
  Body += Draining ? "true}" : "false}";
  return {.Body = std::move(Body)};
}

HttpReply refusedReply(const std::string &Id, const Refusal &Why,
                       const ReplicaWindow &Window) {
  return jsonReply(Why.Status, {{"id", Id},
                                {"ran", false},
                                {"reason", Why.Reason},
                                {"oldest", Window.oldest().value()},
                                {"newest", Window.newest().value()}});
}

HttpReply ranReply(const std::string &Id, std::string_view Reason,
                   unsigned Status) {
  return jsonReply(Status, {{"id", Id}, {"ran", true}, {"reason", Reason}});
}

HttpReply malformedReply(const Error &Failure) {
  return jsonReply(400, {{"id", ""},
                         {"ran", false},
                         {"reason", "malformed"},
                         {"message", Failure.Message}});
}

HttpReply cancelReply(CancelState State) {
  return jsonReply(200, {{"state", nameOf(State)}});
}

HttpReply statusReply(const ServerName &Server, const std::string &Service,
                      const ReplicaWindow &Window, bool Draining) {
  nlohmann::json Shards = nlohmann::json::array();
  for (const ReplicaVersions &Replica : Window.served())
    Shards.push_back({{"service", Service},
                      {"shard", Replica.Shard.value()},
                      {"versions", toJson(Replica.Ranges)}});
  return jsonReply(200, {{"server", Server.value()},
                         {"draining", Draining},
                         {"shards", std::move(Shards)}});
}

} // namespace carawaypond::standins
