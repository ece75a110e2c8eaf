#include "platform/ObjectClient.h"

#include "http/PercentCoding.h"
#include "platform/ObjectCodec.h"
#include "platform/StatusError.h"

namespace carawaypond::platform {

using boost::asio::awaitable;

namespace {

constexpr unsigned PreconditionFailed = 412;
constexpr unsigned ServerErrors = 500;

/// A list of objects may be far larger than one object.
constexpr std::size_t MaxListBytes = std::size_t{64} << 20;

std::string objectPath(const std::string &Kind, const std::string &Name) {
  return "/v1/objects/" + http::percentEncode(Kind) + "/" +
         http::percentEncode(Name);
}

/// @brief Converts a write condition to a header.
struct ConditionHeader {
  http::Header operator()(const IfAbsent &) const {
    return {.Name = "If-None-Match", .Value = "*"};
  }
  http::Header operator()(const IfVersion &Needed) const {
    return {.Name = "If-Match",
            .Value = '"' + std::to_string(Needed.Version) + '"'};
  }
};

/// @return Whether the error @p Failed of a write means that it was not sent,
/// so that it can't have taken effect.
bool wasNotSent(const Error &Failed) {
  return Failed.Code == ErrorCode::NotConnected ||
         Failed.Code == ErrorCode::InvalidInput;
}

WriteOutcome readWriteAnswer(const http::Response &Answer,
                             const std::string &What) {
  if (Answer.Status == PreconditionFailed)
    return Conflict{.CurrentVersion =
                        internal::parseCurrentVersion(Answer.Body)};
  std::optional<Error> Failed = internal::statusError(Answer, What);
  // A server that reports an error may have written before it failed.
  if (Failed &&
      (Answer.Status >= ServerErrors || Failed->Code == ErrorCode::Malformed))
    return InDoubt{.Cause = std::move(*Failed)};
  if (Failed)
    return Refused{.Cause = std::move(*Failed)};
  Result<Object> Now = internal::parseObject(Answer.Body, What);
  if (!Now)
    return InDoubt{.Cause = Now.error()};
  return Written{.Now = std::move(Now.value())};
}

} // namespace

ObjectClient::ObjectClient(boost::asio::any_io_executor Executor,
                           std::string Address)
    : m_Client(std::move(Executor),
               {.Address = std::move(Address),
                .Limits = {.MaxBodyBytes = MaxListBytes}}) {}

awaitable<Result<http::Response>>
ObjectClient::fetch(std::string Path, std::string Query, TimePoint Deadline) {
  std::string What = "GET " + Path;
  http::Request Asked;
  Asked.Path = std::move(Path);
  Asked.Query = std::move(Query);
  auto Answer = co_await m_Client.send(std::move(Asked), Deadline);
  std::optional<Error> Failed;
  if (Answer)
    Failed = internal::statusError(Answer.value(), What);
  if (!Answer || Failed)
    ++m_Counts.Failed;
  if (Failed)
    co_return boost::outcome_v2::failure(std::move(*Failed));
  co_return Answer;
}

awaitable<Result<Object>> ObjectClient::get(std::string Kind, std::string Name,
                                            TimePoint Deadline) {
  ++m_Counts.Gets;
  std::string Path = objectPath(Kind, Name);
  auto Answer = co_await fetch(Path, "", Deadline);
  if (!Answer)
    co_return boost::outcome_v2::failure(Answer.error());
  co_return internal::parseObject(Answer.value().Body, "GET " + Path);
}

awaitable<Result<ObjectList>> ObjectClient::list(std::string Kind,
                                                 TimePoint Deadline) {
  ++m_Counts.Lists;
  std::string Path = "/v1/objects/" + http::percentEncode(Kind);
  auto Answer = co_await fetch(Path, "", Deadline);
  if (!Answer)
    co_return boost::outcome_v2::failure(Answer.error());
  co_return internal::parseObjectList(Answer.value().Body, "GET " + Path);
}

awaitable<Result<ObjectList>> ObjectClient::watch(std::string Kind,
                                                  std::uint64_t After,
                                                  Milliseconds Timeout,
                                                  TimePoint Deadline) {
  ++m_Counts.Watches;
  std::string Path = "/v1/watch/" + http::percentEncode(Kind);
  std::string Query = "after=" + std::to_string(After) +
                      "&timeout_ms=" + std::to_string(Timeout.count());
  auto Answer = co_await fetch(Path, std::move(Query), Deadline);
  if (!Answer)
    co_return boost::outcome_v2::failure(Answer.error());
  co_return internal::parseObjectList(Answer.value().Body, "GET " + Path);
}

awaitable<WriteOutcome> ObjectClient::put(std::string Kind, std::string Name,
                                          std::string Value,
                                          WriteCondition Condition,
                                          TimePoint Deadline) {
  if (Value.size() > MaxValueBytes)
    co_return Refused{{.Code = ErrorCode::TooLarge,
                       .Message = "value of " + Kind + "/" + Name + " has " +
                                  std::to_string(Value.size()) +
                                  " bytes, at most " +
                                  std::to_string(MaxValueBytes) + " fit"}};
  ++m_Counts.Puts;
  http::Request Asked;
  Asked.Method = "PUT";
  Asked.Path = objectPath(Kind, Name);
  Asked.Headers.push_back(std::visit(ConditionHeader(), Condition));
  Asked.Headers.push_back(
      {.Name = "Content-Type", .Value = "application/json"});
  Asked.Body = std::move(Value);
  std::string What = "PUT " + Asked.Path;
  auto Answer = co_await m_Client.send(std::move(Asked), Deadline);
  WriteOutcome Outcome;
  if (Answer)
    Outcome = readWriteAnswer(Answer.value(), What);
  else if (wasNotSent(Answer.error()))
    Outcome = Refused{.Cause = Answer.error()};
  else
    Outcome = InDoubt{.Cause = Answer.error()};
  if (std::holds_alternative<InDoubt>(Outcome) ||
      std::holds_alternative<Refused>(Outcome))
    ++m_Counts.Failed;
  co_return Outcome;
}

} // namespace carawaypond::platform
