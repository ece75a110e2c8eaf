#include "http/BeastMessage.h"

#include <algorithm>
#include <string_view>

namespace carawaypond::http::internal {

namespace beast_http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11;

template <typename Fields> std::vector<Header> copyHeaders(const Fields &From) {
  std::vector<Header> Headers;
  for (const auto &Field : From)
    Headers.push_back({.Name = std::string(Field.name_string()),
                       .Value = std::string(Field.value())});
  return Headers;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C > ' ' && C < '\x7f' && C != ':';
  });
}

bool isTargetPart(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < '\x7f' && C != '#'; });
}

bool isFieldValue(std::string_view Text) {
  return Text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

bool isWellFormed(const Header &Field) {
  return isToken(Field.Name) && isFieldValue(Field.Value);
}

} // namespace

std::optional<Request> fromBeast(BeastRequest Incoming) {
  std::string_view Target = Incoming.target();
  if (Target.empty() || Target.front() != '/')
    return std::nullopt;
  std::size_t Mark = Target.find('?');
  Request Asked;
  Asked.Method = std::string(Incoming.method_string());
  Asked.Target = std::string(Target);
  Asked.Path = std::string(Target.substr(0, Mark));
  if (Mark != std::string_view::npos)
    Asked.Query = std::string(Target.substr(Mark + 1));
  Asked.Headers = copyHeaders(Incoming);
  Asked.Body = std::move(Incoming.body());
  return Asked;
}

Response fromBeast(BeastResponse Incoming) {
  Response Answer;
  Answer.Status = Incoming.result_int();
  Answer.ContentType = std::string(Incoming[beast_http::field::content_type]);
  Answer.Headers = copyHeaders(Incoming);
  Answer.Body = std::move(Incoming.body());
  return Answer;
}

BeastRequest toBeast(Request Outgoing, const std::string &Host) {
  std::string Target = std::move(Outgoing.Path);
  if (!Outgoing.Query.empty())
    Target += "?" + Outgoing.Query;
  BeastRequest Message;
  Message.version(HttpVersion);
  Message.method_string(Outgoing.Method);
  Message.target(Target);
  Message.set(beast_http::field::host, Host);
  for (const Header &Field : Outgoing.Headers)
    Message.set(Field.Name, Field.Value);
  Message.body() = std::move(Outgoing.Body);
  Message.prepare_payload();
  return Message;
}

BeastResponse toBeast(Response Outgoing, bool KeepAlive) {
  BeastResponse Message;
  Message.version(HttpVersion);
  Message.result(Outgoing.Status);
  for (const Header &Field : Outgoing.Headers)
    if (isWellFormed(Field))
      Message.insert(Field.Name, Field.Value);
  if (!Outgoing.ContentType.empty())
    Message.set(beast_http::field::content_type, Outgoing.ContentType);
  Message.keep_alive(KeepAlive);
  Message.body() = std::move(Outgoing.Body);
  Message.prepare_payload();
  return Message;
}

bool isWellFormed(const Request &Outgoing) {
  bool HeadersFit =
      std::all_of(Outgoing.Headers.begin(), Outgoing.Headers.end(),
                  [](const Header &Field) { return isWellFormed(Field); });
  return HeadersFit && isToken(Outgoing.Method) &&
         Outgoing.Path.starts_with('/') && isTargetPart(Outgoing.Path) &&
         isTargetPart(Outgoing.Query);
}

} // namespace carawaypond::http::internal
