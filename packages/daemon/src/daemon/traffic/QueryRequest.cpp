#include "daemon/traffic/QueryRequest.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"

#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace {

constexpr std::uint64_t MaxDeadlineMillis = 600'000;

} // namespace

Result<QueryRequest> parseQueryRequest(const std::string &Body) {
  nlohmann::json Value = parseJsonText(Body);
  if (Value.is_discarded())
    return failure(ErrorCode::InvalidInput, "the body is not JSON of at most " +
                                                std::to_string(MaxJsonDepth) +
                                                " levels");
  JsonReader Reader(Value, "");
  Reader.allowOnly(
      {"service", "class", "request", "deadline_ms", "repeatable", "ticket"});
  QueryRequest Query;
  Query.Service = ServiceName(Reader.string("service", 1, 64));
  if (Reader.has("class"))
    Query.Class = ClassName(Reader.string("class", 1, 64));
  Query.Request = Reader.object("request").dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Reader.has("deadline_ms"))
    Query.Deadline =
        Milliseconds(Reader.integer("deadline_ms", 1, MaxDeadlineMillis));
  Query.Repeatable = Reader.booleanOr("repeatable", true);
  if (Reader.has("ticket"))
    Query.Ticket = Reader.string("ticket", 1, 256);
  if (!Query.Repeatable && Query.Ticket.empty())
    Reader.fail("ticket", "is needed when \"repeatable\" is false; get one "
                          "from POST /v1/tickets");
  if (Query.Repeatable && !Query.Ticket.empty())
    Reader.fail("ticket", "is only for requests with \"repeatable\": false");
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Query;
}

} // namespace carawaypond::daemon
