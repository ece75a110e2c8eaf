#include "ctl/Submission.h"

#include "http/PercentCoding.h"

#include <nlohmann/json.hpp>

namespace carawaypond::ctl {

using Json = nlohmann::json;

namespace {

std::string servicePath(const ServiceName &Name) {
  return "/v1/services/" + http::percentEncode(Name.value());
}

http::Request makeRequest(std::string Method, std::string Path,
                          const Json &Body) {
  http::Request Request;
  Request.Method = std::move(Method);
  Request.Path = std::move(Path);
  Request.Headers.push_back(
      {.Name = "Content-Type", .Value = "application/json"});
  Request.Body = Body.dump();
  return Request;
}

Result<Json> parseObject(const std::string &Text, const std::string &What) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return failure(ErrorCode::InvalidInput, What + " must be a JSON object");
  return Parsed;
}

} // namespace

Result<Submission> makeCreation(const std::string &Content,
                                const SubmissionId &Id) {
  auto Parsed = parseObject(Content, "the service's content");
  if (!Parsed)
    return failure(Parsed.error().Code, Parsed.error().Message);
  Json Name = Parsed.value().value("name", Json());
  if (!Name.is_string())
    return failure(ErrorCode::InvalidInput, "/name: must be a string");
  Json Body = {{"submission", Id.value()}, {"content", Parsed.value()}};
  return Submission{.Name = ServiceName(Name.get<std::string>()),
                    .Id = Id,
                    .Request = makeRequest("POST", "/v1/services", Body)};
}

Result<Submission> makePatch(const PatchService &Command,
                             const std::string &Patch, const SubmissionId &Id) {
  auto Parsed = parseObject(Patch, "the patch");
  if (!Parsed)
    return failure(Parsed.error().Code, Parsed.error().Message);
  Json Body = {{"submission", Id.value()},
               {"version", Command.Version.value()},
               {"patch", Parsed.value()}};
  return Submission{.Name = Command.Name,
                    .Id = Id,
                    .Request =
                        makeRequest("PATCH", servicePath(Command.Name), Body)};
}

Submission makeDeletion(const DeleteService &Command, const SubmissionId &Id) {
  http::Request Request;
  Request.Method = "DELETE";
  Request.Path = servicePath(Command.Name);
  Request.Query = "version=" + std::to_string(Command.Version.value()) +
                  "&submission=" + http::percentEncode(Id.value());
  return {.Name = Command.Name, .Id = Id, .Request = std::move(Request)};
}

http::Request makeStatusRequest(const ServiceName &Name,
                                const SubmissionId &Id) {
  http::Request Request;
  Request.Path = "/v1/submissions/" + http::percentEncode(Id.value());
  Request.Query = "service=" + http::percentEncode(Name.value());
  return Request;
}

} // namespace carawaypond::ctl
