#include "daemon/settings/Settings.h"

#include "coordination/model/JsonReader.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <limits>

namespace carawaypond::daemon {

namespace {

constexpr std::uint64_t MaxConnections = 1'000'000;
constexpr std::uint64_t MaxBodyBytes = 64U << 20U;
constexpr std::uint64_t MaxTimeoutMillis = 600'000;
constexpr std::uint64_t MaxAddressLifetimeMillis = 60'000;

bool isAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Text.substr(0, Colon), Failed);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  return !Failed && Code == std::errc() && Stop == End;
}

std::string readAddress(JsonReader &Reader, std::string_view Key) {
  std::string Text = Reader.string(Key);
  if (!isAddress(Text))
    Reader.fail(Key, "must be an IP address and a port, such as "
                     "\"127.0.0.1:7101\"");
  return Text;
}

ListenSettings readListen(JsonReader &Reader) {
  JsonReader Item(Reader.object("listen"), Reader.pathOf("listen"));
  Item.allowOnly({"callers", "operators", "peers"});
  ListenSettings Listen{.Callers = readAddress(Item, "callers"),
                        .Operators = readAddress(Item, "operators"),
                        .Peers = readAddress(Item, "peers")};
  Reader.adopt(Item);
  return Listen;
}

RoutePolicy readRoute(JsonReader &Reader) {
  if (!Reader.has("route"))
    return RoutePolicy::OwnerOfShard;
  std::string Name = Reader.string("route");
  if (Name == "owner_of_shard")
    return RoutePolicy::OwnerOfShard;
  if (Name == "owner_of_replica")
    return RoutePolicy::OwnerOfReplica;
  if (Name != "direct")
    Reader.fail("route", "must be \"owner_of_shard\", \"owner_of_replica\" or "
                         "\"direct\"");
  return RoutePolicy::Direct;
}

PolicySettings readPolicy(JsonReader &Reader) {
  if (!Reader.has("policy"))
    return {};
  JsonReader Item(Reader.object("policy"), Reader.pathOf("policy"));
  Item.allowOnly({"route", "hedge", "budget"});
  PolicySettings Policy{.Route = readRoute(Item),
                        .Hedge = Item.booleanOr("hedge", true),
                        .Budget = Item.booleanOr("budget", true)};
  Reader.adopt(Item);
  return Policy;
}

Milliseconds readMillis(JsonReader &Reader, std::string_view Key,
                        std::uint64_t Max, Milliseconds Default) {
  return Milliseconds(Reader.integerOr(
      Key, 1, Max, static_cast<std::uint64_t>(Default.count())));
}

CallerLimits readCallers(JsonReader &Reader) {
  CallerLimits Limits;
  if (!Reader.has("callers"))
    return Limits;
  JsonReader Item(Reader.object("callers"), Reader.pathOf("callers"));
  Item.allowOnly({"connections", "connections_per_address", "body_bytes",
                  "header_timeout_ms", "idle_timeout_ms"});
  Limits.Connections =
      Item.integerOr("connections", 1, MaxConnections, Limits.Connections);
  Limits.ConnectionsPerAddress =
      Item.integerOr("connections_per_address", 1, MaxConnections,
                     Limits.ConnectionsPerAddress);
  Limits.BodyBytes =
      Item.integerOr("body_bytes", 1, MaxBodyBytes, Limits.BodyBytes);
  Limits.HeaderTimeout = readMillis(Item, "header_timeout_ms", MaxTimeoutMillis,
                                    Limits.HeaderTimeout);
  Limits.IdleTimeout =
      readMillis(Item, "idle_timeout_ms", MaxTimeoutMillis, Limits.IdleTimeout);
  Reader.adopt(Item);
  return Limits;
}

std::vector<std::string> readSeeds(JsonReader &Reader) {
  std::vector<std::string> Seeds;
  if (!Reader.has("seeds"))
    return Seeds;
  for (const nlohmann::json &Seed : Reader.array("seeds")) {
    Seeds.push_back(Seed.is_string() ? Seed.get<std::string>() : "");
    if (!isAddress(Seeds.back()))
      Reader.fail("seeds", "must hold IP addresses with ports");
  }
  return Seeds;
}

LogSettings readLog(JsonReader &Reader) {
  LogSettings Log;
  if (!Reader.has("log"))
    return Log;
  JsonReader Item(Reader.object("log"), Reader.pathOf("log"));
  Item.allowOnly({"level", "file"});
  if (Item.has("level"))
    Log.Level = Item.string("level");
  bool IsKnown = Log.Level == "debug" || Log.Level == "info" ||
                 Log.Level == "warn" || Log.Level == "error";
  if (!IsKnown)
    Item.fail("level", "must be \"debug\", \"info\", \"warn\" or \"error\"");
  if (Item.has("file"))
    Log.File = Item.string("file", 0, 4096);
  Reader.adopt(Item);
  return Log;
}

} // namespace

Result<Settings> parseSettings(const nlohmann::json &Value) {
  JsonReader Reader(Value, "");
  Reader.allowOnly({"vm", "data_centre", "listen", "platform", "policy",
                    "callers", "log", "address_lifetime_ms", "seeds"});
  Settings Parsed;
  Parsed.Vm = VmName(Reader.string("vm", 1, 64));
  if (Parsed.Vm.value().find('.') != std::string::npos)
    Reader.fail("vm", "may not hold '.'");
  Parsed.Centre = DataCentre(Reader.string("data_centre", 1, 64));
  Parsed.Listen = readListen(Reader);
  Parsed.Platform = readAddress(Reader, "platform");
  Parsed.Policy = readPolicy(Reader);
  Parsed.Callers = readCallers(Reader);
  Parsed.Log = readLog(Reader);
  Parsed.AddressLifetime =
      readMillis(Reader, "address_lifetime_ms", MaxAddressLifetimeMillis,
                 Parsed.AddressLifetime);
  Parsed.Seeds = readSeeds(Reader);
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Parsed;
}

Result<Settings> loadSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return failure(ErrorCode::NotFound,
                   "settings file \"" + Path + "\" can't be read");
  nlohmann::json Value = nlohmann::json::parse(File, nullptr, false);
  if (Value.is_discarded())
    return failure(ErrorCode::InvalidInput,
                   "settings file \"" + Path + "\" is not JSON");
  return parseSettings(Value);
}

} // namespace carawaypond::daemon
