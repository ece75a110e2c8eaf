#include "backends/server/ServerAction.h"

#include "common/Overloaded.h"
#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t DefaultGraceMillis = 5'000;
constexpr std::uint64_t MaxGraceMillis = 3'600'000;

} // namespace

Result<ServerAction> parseServerAction(const nlohmann::json &Body) {
  JsonReader Reader(Body, "");
  std::string Name = Reader.string("action");
  std::uint64_t Grace =
      Reader.integerOr("grace_ms", 0, MaxGraceMillis, DefaultGraceMillis);
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  if (Name == "stop")
    return ServerAction(StopServer{});
  if (Name == "start")
    return ServerAction(StartServer{});
  if (Name == "drain")
    return ServerAction(DrainServer{.Grace = Milliseconds(Grace)});
  if (Name == "undrain")
    return ServerAction(EndDrain{});
  if (Name == "leave" || Name == "return")
    return ServerAction(AnnounceLeaving{.Leaving = Name == "leave"});
  return failure(ErrorCode::InvalidInput,
                 "/action: \"" + Name +
                     "\" must be stop, start, drain, undrain, leave or return");
}

Result<void> perform(const ServerAction &Action, BackendServer &Server,
                     Fleet &Owner) {
  return std::visit(
      Overloaded{[&](const StopServer &) -> Result<void> {
                   Server.stop();
                   return success();
                 },
                 [&](const StartServer &) { return Server.start(); },
                 [&](const DrainServer &Drain) -> Result<void> {
                   Server.drain(Drain.Grace);
                   return success();
                 },
                 [&](const EndDrain &) -> Result<void> {
                   Server.endDrain();
                   return success();
                 },
                 [&](const AnnounceLeaving &Announcement) -> Result<void> {
                   Owner.announceLeaving(Server, Announcement.Leaving);
                   return success();
                 }},
      Action);
}

} // namespace carawaypond::standins
