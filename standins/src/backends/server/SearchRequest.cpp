#include "backends/server/SearchRequest.h"

#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t MaxU32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxI64 = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t MaxU64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t MaxValueBytes = 4096;

void readRequest(JsonReader &Parent, SearchRequest &Request) {
  JsonReader Reader(Parent.object("request"), "/request");
  if (Reader.has("echo"))
    Request.EchoToken = Reader.string("echo", 1, MaxValueBytes);
  if (Reader.has("match")) {
    Request.MatchField = Reader.string("match");
    Request.MatchValue = Reader.string("value", 0, MaxValueBytes);
  }
  Parent.adopt(Reader);
}

} // namespace

Result<SearchRequest> parseSearchRequest(const std::string &Body) {
  auto Json = nlohmann::json::parse(Body, nullptr, false);
  JsonReader Reader(Json, "");
  SearchRequest Request;
  Request.Id = Reader.string("id");
  Request.Service = Reader.string("service");
  Request.Shard =
      ShardId(static_cast<std::uint32_t>(Reader.integer("shard", 0, MaxU32)));
  Request.Version = IndexVersion(Reader.integer("version", 0, MaxU64));
  Request.Layout = Reader.integer("layout", 0, MaxU64);
  Request.Deadline = WallMillis{
      static_cast<std::int64_t>(Reader.integer("deadline_ms", 0, MaxI64))};
  readRequest(Reader, Request);
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Request;
}

} // namespace carawaypond::standins
