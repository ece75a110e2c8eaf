#include "platform/CallCounts.h"

#include <nlohmann/json.hpp>

namespace carawaypond::standins {

nlohmann::json CallCounts::toJson() const {
  return {{"total", m_Total},
          {"dropped", m_Dropped},
          {"watching", m_Watching},
          {"calls", m_Calls}};
}

void CallCounts::count(const std::string &Kind, const std::string &Method) {
  ++m_Total;
  ++m_Calls[Kind][Method];
}

} // namespace carawaypond::standins
