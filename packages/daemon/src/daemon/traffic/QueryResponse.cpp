#include "daemon/traffic/QueryResponse.h"

#include "coordination/subrequest/SubReason.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace carawaypond::daemon {

namespace {

http::Response jsonResponse(unsigned Status, const nlohmann::json &Body) {
  return {.Status = Status,
          .Body = Body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

http::Response refusal(unsigned Status, std::string_view Outcome,
                       std::string_view Reason, std::string_view Message) {
  return jsonResponse(
      Status, {{"outcome", Outcome}, {"reason", Reason}, {"message", Message}});
}

unsigned statusOf(SubReason Reason) {
  switch (Reason) {
  case SubReason::Overloaded:
  case SubReason::Shed:
    return 429;
  case SubReason::Deadline:
    return 408;
  default:
    return 503;
  }
}

/// @brief Appends the records of all shards. Each payload is already JSON.
void appendRecords(std::string &Out, const std::vector<ShardAnswer> &Answers) {
  Out += "\"records\":[";
  bool IsFirst = true;
  for (const ShardAnswer &Answer : Answers) {
    if (Answer.Payload->empty())
      continue;
    if (!IsFirst)
      Out += ',';
    Out += *Answer.Payload;
    IsFirst = false;
  }
  Out += ']';
}

nlohmann::json missingJson(const std::vector<MissingShard> &Missing) {
  nlohmann::json All = nlohmann::json::array();
  for (const MissingShard &Shard : Missing)
    All.push_back(
        {{"shard", Shard.Shard.value()}, {"reason", wireNameOf(Shard.Reason)}});
  return All;
}

struct ResponseVisitor {
  const ServiceName &Service;
  const std::string &RequestId;

  http::Response operator()(const QueryComplete &Complete) const {
    return answer("complete", Complete.Version, Complete.Layout,
                  Complete.Answers, {});
  }
  http::Response operator()(const QueryPartial &Partial) const {
    return answer("partial", Partial.Version, Partial.Layout, Partial.Answers,
                  Partial.Missing);
  }
  http::Response operator()(const QueryNotRun &NotRun) const {
    return notRun(statusOf(NotRun.Reason), wireNameOf(NotRun.Reason),
                  "no shard ran the request, and none will");
  }
  http::Response operator()(const QueryUnknown &Unknown) const {
    return unknown(wireNameOf(Unknown.Reason),
                   "the request may have run on some shard");
  }

  [[nodiscard]] http::Response
  answer(std::string_view Outcome, IndexVersion Version, std::uint64_t Layout,
         const std::vector<ShardAnswer> &Answers,
         const std::vector<MissingShard> &Missing) const {
    nlohmann::json Head = {{"outcome", Outcome},
                           {"service", Service.value()},
                           {"snapshot", Version.value()},
                           {"layout", Layout},
                           {"coverage",
                            {{"answered", Answers.size()},
                             {"total", Answers.size() + Missing.size()}}},
                           {"missing", missingJson(Missing)},
                           {"request_id", RequestId}};
    std::string Body = Head.dump();
    Body.back() = ',';
    appendRecords(Body, Answers);
    Body += '}';
    return {.Status = 200, .Body = std::move(Body)};
  }
};

} // namespace

http::Response notRun(unsigned Status, std::string_view Reason,
                      std::string_view Message) {
  return refusal(Status, "not_run", Reason, Message);
}

http::Response unknown(std::string_view Reason, std::string_view Message) {
  return refusal(504, "unknown", Reason, Message);
}

http::Response toResponse(const QueryResult &Result, const ServiceName &Service,
                          const std::string &RequestId) {
  return std::visit(ResponseVisitor{Service, RequestId}, Result);
}

std::string packResponse(const http::Response &Response) {
  return std::to_string(Response.Status) + ' ' + Response.Body;
}

http::Response unpackResponse(const std::string &Packed) {
  http::Response Response;
  const char *End = Packed.data() + Packed.size();
  auto [Stop, Code] = std::from_chars(Packed.data(), End, Response.Status);
  bool IsWhole = Code == std::errc() && Stop != End && *Stop == ' ';
  if (!IsWhole)
    return unknown("malformed", "the kept outcome can't be read");
  Response.Body.assign(Stop + 1, End);
  return Response;
}

} // namespace carawaypond::daemon
