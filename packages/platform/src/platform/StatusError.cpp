#include "platform/StatusError.h"

namespace carawaypond::platform::internal {

namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Gone = 410;
constexpr unsigned ContentTooLarge = 413;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned StatusClass = 100;
constexpr std::size_t MaxQuotedBytes = 200;

ErrorCode codeOf(unsigned Status) {
  switch (Status) {
  case NotFound:
    return ErrorCode::NotFound;
  case Gone:
    return ErrorCode::Conflict;
  case ContentTooLarge:
    return ErrorCode::TooLarge;
  case RequestTimeout:
  case TooManyRequests:
    return ErrorCode::Unavailable;
  default:
    break;
  }
  switch (Status / StatusClass) {
  case 4:
    return ErrorCode::InvalidInput;
  case 5:
    return ErrorCode::Unavailable;
  default:
    return ErrorCode::Malformed;
  }
}

} // namespace

std::optional<Error> statusError(const http::Response &Answer,
                                 const std::string &What) {
  if (Answer.Status / StatusClass == 2)
    return std::nullopt;
  return Error{.Code = codeOf(Answer.Status),
               .Message = What + ": status " + std::to_string(Answer.Status) +
                          " " + Answer.Body.substr(0, MaxQuotedBytes)};
}

} // namespace carawaypond::platform::internal
