#include "platform/StoredObject.h"

namespace carawaypond::standins {

std::string toJsonText(const StoredObject &Object) {
  std::string Text = R"({"kind":")" + Object.Kind;
  Text += R"(","name":")" + Object.Name;
  Text += R"(","version":)" + std::to_string(Object.Version);
  Text += R"(,"value":)" + Object.Value + "}";
  return Text;
}

} // namespace carawaypond::standins
