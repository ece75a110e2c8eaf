#include "coordination/model/IndexObject.h"

#include "coordination/model/JsonReader.h"

#include <algorithm>
#include <limits>
#include <set>

namespace carawaypond {

namespace {

constexpr std::uint64_t MaxU32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxU64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t MaxSlots = 10'000;
constexpr std::uint64_t MaxConnections = 100'000;

ServerInfo readServer(JsonReader &Reader) {
  std::string State = Reader.string("state");
  if (State != "serving" && State != "leaving")
    Reader.fail("state", "must be \"serving\" or \"leaving\"");
  return {.Name = ServerName(Reader.string("name")),
          .Address = Reader.string("address"),
          .Centre = DataCentre(Reader.string("data_centre")),
          .Slots =
              static_cast<std::uint32_t>(Reader.integer("slots", 1, MaxSlots)),
          .Connections = static_cast<std::uint32_t>(
              Reader.integer("connections", 1, MaxConnections)),
          .Leaving = State == "leaving"};
}

ShardReplicas readShard(JsonReader &Reader,
                        const std::set<ServerName> &Servers) {
  ShardReplicas Shard;
  Shard.Shard =
      ShardId(static_cast<std::uint32_t>(Reader.integer("shard", 0, MaxU32)));
  for (const nlohmann::json &Replica : Reader.array("replicas")) {
    ServerName Name(Replica.is_string() ? Replica.get<std::string>() : "");
    if (!Servers.contains(Name))
      Reader.fail("replicas", "names a server that is not listed");
    Shard.Replicas.push_back(std::move(Name));
  }
  return Shard;
}

IndexLayout readLayout(JsonReader &Reader,
                       const std::set<ServerName> &Servers) {
  IndexLayout Layout;
  Layout.Layout = Reader.integer("layout", 0, MaxU64);
  Layout.FromVersion = IndexVersion(Reader.integer("from_version", 0, MaxU64));
  const nlohmann::json &Shards = Reader.array("shards");
  std::set<ShardId> Seen;
  for (std::size_t I = 0; I < Shards.size(); ++I) {
    JsonReader Item(Shards[I],
                    Reader.pathOf("shards") + "/" + std::to_string(I));
    Layout.Shards.push_back(readShard(Item, Servers));
    if (!Seen.insert(Layout.Shards.back().Shard).second)
      Item.fail("shard", "stands twice");
    Reader.adopt(Item);
  }
  return Layout;
}

bool isAscending(const IndexLayout &Left, const IndexLayout &Right) {
  return Left.Layout < Right.Layout && Left.FromVersion < Right.FromVersion;
}

} // namespace

const ServerInfo *IndexObject::findServer(const ServerName &Name) const {
  auto Found =
      std::find_if(Servers.begin(), Servers.end(),
                   [&](const ServerInfo &S) { return S.Name == Name; });
  return Found == Servers.end() ? nullptr : &*Found;
}

const IndexLayout *IndexObject::findLayout(std::uint64_t Layout) const {
  auto Found =
      std::find_if(Layouts.begin(), Layouts.end(),
                   [&](const IndexLayout &L) { return L.Layout == Layout; });
  return Found == Layouts.end() ? nullptr : &*Found;
}

Result<IndexObject> parseIndexObject(const nlohmann::json &Value,
                                     std::uint64_t ObjectVersion) {
  JsonReader Reader(Value, "");
  IndexObject Index;
  Index.Name = Reader.string("name");
  Index.ObjectVersion = ObjectVersion;
  std::set<ServerName> Names;
  const nlohmann::json &Servers = Reader.array("servers");
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    JsonReader Item(Servers[I], "/servers/" + std::to_string(I));
    Index.Servers.push_back(readServer(Item));
    if (!Names.insert(Index.Servers.back().Name).second)
      Item.fail("name", "stands twice");
    Reader.adopt(Item);
  }
  const nlohmann::json &Layouts = Reader.array("layouts");
  for (std::size_t I = 0; I < Layouts.size(); ++I) {
    JsonReader Item(Layouts[I], "/layouts/" + std::to_string(I));
    IndexLayout Layout = readLayout(Item, Names);
    if (!Index.Layouts.empty() && !isAscending(Index.Layouts.back(), Layout))
      Item.fail("from_version", "is not above the layout before it");
    Index.Layouts.push_back(std::move(Layout));
    Reader.adopt(Item);
  }
  if (Reader.error())
    return failure(ErrorCode::Malformed, Reader.error()->Message);
  return Index;
}

nlohmann::json toJson(const IndexObject &Index) {
  nlohmann::json Servers = nlohmann::json::array();
  for (const ServerInfo &Server : Index.Servers)
    Servers.push_back({{"name", Server.Name.value()},
                       {"address", Server.Address},
                       {"data_centre", Server.Centre.value()},
                       {"slots", Server.Slots},
                       {"connections", Server.Connections},
                       {"state", Server.Leaving ? "leaving" : "serving"}});
  nlohmann::json Layouts = nlohmann::json::array();
  for (const IndexLayout &Layout : Index.Layouts) {
    nlohmann::json Shards = nlohmann::json::array();
    for (const ShardReplicas &Shard : Layout.Shards) {
      nlohmann::json Replicas = nlohmann::json::array();
      for (const ServerName &Replica : Shard.Replicas)
        Replicas.push_back(Replica.value());
      Shards.push_back(
          {{"shard", Shard.Shard.value()}, {"replicas", std::move(Replicas)}});
    }
    Layouts.push_back({{"layout", Layout.Layout},
                       {"from_version", Layout.FromVersion.value()},
                       {"shards", std::move(Shards)}});
  }
  return {{"name", Index.Name},
          {"servers", std::move(Servers)},
          {"layouts", std::move(Layouts)}};
}

} // namespace carawaypond
