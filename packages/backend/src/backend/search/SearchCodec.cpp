#include "backend/search/SearchCodec.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace carawaypond::backend {

namespace {

constexpr std::uint64_t MaxU64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t MaxU32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t MaxReasonBytes = 64;

SearchOutcome malformed(const std::string &What) {
  return SearchInDoubt{Error{.Code = ErrorCode::Malformed,
                             .Message = "backend answer: " + What}};
}

bool isDraining(const http::Response &Response) {
  return Response.header("X-Draining").value_or("0") == "1";
}

std::string joinRecords(const nlohmann::json &Records) {
  std::string Text;
  for (const nlohmann::json &Record : Records) {
    if (!Text.empty())
      Text += ',';
    Text +=
        Record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return Text;
}

SearchOutcome decodeAnswer(const SearchRequest &Search, JsonReader &Reader,
                           bool Draining) {
  bool IsOurs = Reader.string("service") == Search.Service.value() &&
                Reader.integer("shard", 0, MaxU32) == Search.Shard.value();
  SearchAnswer Answer{
      .Version = IndexVersion(Reader.integer("version", 0, MaxU64)),
      .Layout = Reader.integer("layout", 0, MaxU64),
      .Oldest = IndexVersion(Reader.integerOr("oldest", 0, MaxU64, 0)),
      .Newest = IndexVersion(Reader.integerOr("newest", 0, MaxU64, 0)),
      .Draining = Draining || Reader.booleanOr("draining", false)};
  const nlohmann::json &Records = Reader.array("records");
  std::uint64_t Count = Reader.integer("count", 0, MaxU64);
  if (Reader.error())
    return malformed(Reader.error()->Message);
  if (!IsOurs)
    return malformed("is for another shard or service");
  if (Count != Records.size())
    return malformed("has " + std::to_string(Records.size()) +
                     " records and says " + std::to_string(Count));
  Answer.Records = joinRecords(Records);
  return Answer;
}

std::optional<IndexVersion> versionField(JsonReader &Reader,
                                         std::string_view Key) {
  if (!Reader.has(Key))
    return std::nullopt;
  return IndexVersion(Reader.integer(Key, 0, MaxU64));
}

SearchOutcome decodeRefusal(JsonReader &Reader, bool Draining) {
  bool Ran = Reader.booleanOr("ran", true);
  std::string Reason = Reader.string("reason", 1, MaxReasonBytes);
  SearchRefused Refused{.Reason = Reason,
                        .Oldest = versionField(Reader, "oldest"),
                        .Newest = versionField(Reader, "newest"),
                        .Draining = Draining};
  if (Reader.error())
    return malformed(Reader.error()->Message);
  if (Ran)
    return SearchFailed{.Reason = Reason, .Draining = Draining};
  return Refused;
}

} // namespace

http::Request encodeSearch(const SearchRequest &Search) {
  // The request's text is inserted as it is: it was parsed as JSON when the
  // query arrived.
  nlohmann::json Envelope = {{"id", Search.Id},
                             {"service", Search.Service.value()},
                             {"shard", Search.Shard.value()},
                             {"version", Search.Version.value()},
                             {"layout", Search.Layout},
                             {"deadline_ms", Search.WallDeadline.Value},
                             {"repeatable", Search.Repeatable}};
  std::string Body = Envelope.dump();
  Body.pop_back();
  Body += ",\"request\":" + Search.Request + "}";
  return {.Method = "POST", .Path = "/v1/search", .Body = std::move(Body)};
}

SearchOutcome decodeSearch(const SearchRequest &Search,
                           const http::Response &Response) {
  nlohmann::json Body = parseJsonText(Response.Body);
  if (Body.is_discarded())
    return malformed("is not JSON");
  JsonReader Reader(Body, "");
  if (Reader.error())
    return malformed(Reader.error()->Message);
  if (Reader.string("id") != Search.Id)
    return malformed("is for another subrequest");
  if (Response.Status == 200)
    return decodeAnswer(Search, Reader, isDraining(Response));
  return decodeRefusal(Reader, isDraining(Response));
}

SearchOutcome outcomeOf(const Error &Failure) {
  bool IsNotSent = Failure.Code == ErrorCode::NotConnected ||
                   Failure.Code == ErrorCode::Unavailable;
  if (IsNotSent)
    return SearchNotSent{Failure};
  return SearchInDoubt{Failure};
}

namespace {

VersionRange readRange(JsonReader &Reader) {
  return {.Layout = Reader.integer("layout", 0, MaxU64),
          .Oldest = IndexVersion(Reader.integer("oldest", 0, MaxU64)),
          .Newest = IndexVersion(Reader.integer("newest", 0, MaxU64))};
}

ShardStatus readShardStatus(JsonReader &Reader) {
  ShardStatus Status;
  Status.Service = ServiceName(Reader.string("service"));
  Status.Shard =
      ShardId(static_cast<std::uint32_t>(Reader.integer("shard", 0, MaxU32)));
  const nlohmann::json &Versions = Reader.array("versions");
  for (std::size_t I = 0; I < Versions.size(); ++I) {
    JsonReader Item(Versions[I],
                    Reader.pathOf("versions") + "/" + std::to_string(I));
    Status.Ranges.push_back(readRange(Item));
    Reader.adopt(Item);
  }
  return Status;
}

} // namespace

Result<ServerStatus> decodeStatus(const http::Response &Response) {
  nlohmann::json Body = parseJsonText(Response.Body);
  if (Response.Status != 200 || Body.is_discarded())
    return failure(ErrorCode::Malformed, "status answer " +
                                             std::to_string(Response.Status) +
                                             " is not usable");
  JsonReader Reader(Body, "");
  ServerStatus Status;
  Status.Server = ServerName(Reader.string("server"));
  Status.Draining = isDraining(Response) || Reader.booleanOr("draining", false);
  const nlohmann::json &Shards = Reader.array("shards");
  for (std::size_t I = 0; I < Shards.size(); ++I) {
    JsonReader Item(Shards[I], "/shards/" + std::to_string(I));
    Status.Shards.push_back(readShardStatus(Item));
    Reader.adopt(Item);
  }
  if (Reader.error())
    return failure(ErrorCode::Malformed, Reader.error()->Message);
  return Status;
}

} // namespace carawaypond::backend
