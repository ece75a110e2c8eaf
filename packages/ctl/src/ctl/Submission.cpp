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
  http::Request Made;
  Made.Method = std::move(Method);
  Made.Path = std::move(Path);
  Made.Headers.push_back({.Name = "Content-Type", .Value = "application/json"});
  Made.Body = Body.dump();
  return Made;
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
                    .Asked = makeRequest("POST", "/v1/services", Body)};
}

Result<Submission> makePatch(const PatchService &Wanted,
                             const std::string &Patch, const SubmissionId &Id) {
  auto Parsed = parseObject(Patch, "the patch");
  if (!Parsed)
    return failure(Parsed.error().Code, Parsed.error().Message);
  Json Body = {{"submission", Id.value()},
               {"version", Wanted.Version.value()},
               {"patch", Parsed.value()}};
  return Submission{.Name = Wanted.Name,
                    .Id = Id,
                    .Asked =
                        makeRequest("PATCH", servicePath(Wanted.Name), Body)};
}

Submission makeDeletion(const DeleteService &Wanted, const SubmissionId &Id) {
  http::Request Asked;
  Asked.Method = "DELETE";
  Asked.Path = servicePath(Wanted.Name);
  Asked.Query = "version=" + std::to_string(Wanted.Version.value()) +
                "&submission=" + http::percentEncode(Id.value());
  return {.Name = Wanted.Name, .Id = Id, .Asked = std::move(Asked)};
}

http::Request makeQuestion(const ServiceName &Name, const SubmissionId &Id) {
  http::Request Asked;
  Asked.Path = "/v1/submissions/" + http::percentEncode(Id.value());
  Asked.Query = "service=" + http::percentEncode(Name.value());
  return Asked;
}

} // namespace carawaypond::ctl
