#include "http/ErrorResponse.h"

#include <nlohmann/json.hpp>

namespace carawaypond::http {

Response errorResponse(unsigned Status, std::string_view Outcome,
                       std::string_view Reason, std::string_view Message) {
  nlohmann::json Body = {
      {"outcome", Outcome}, {"reason", Reason}, {"message", Message}};
  Response Answer;
  Answer.Status = Status;
  Answer.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Answer;
}

} // namespace carawaypond::http
