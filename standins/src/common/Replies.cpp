#include "common/Replies.h"

#include <nlohmann/json.hpp>

namespace carawaypond::standins {

HttpReply jsonReply(unsigned Status, const nlohmann::json &Body) {
  using Handler = nlohmann::json::error_handler_t;
  return {.Status = Status,
          .Body = Body.dump(-1, ' ', false, Handler::replace)};
}

HttpReply errorReply(unsigned Status, std::string_view Reason,
                     const std::string &Message) {
  return jsonReply(Status, {{"reason", Reason}, {"message", Message}});
}

HttpReply invalidReply(const Error &Failure) {
  return errorReply(422, "invalid", Failure.Message);
}

} // namespace carawaypond::standins
