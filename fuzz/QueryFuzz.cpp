#include "daemon/traffic/QueryRequest.h"
#include "daemon/traffic/QueryResponse.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace carawaypond::daemon;

/// @brief Parses the input as a query; if it is refused, the error answer must
/// be serialisable.
// libFuzzer requires this function name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string Body(reinterpret_cast<const char *>(Data), Size);
  auto Parsed = parseQueryRequest(Body);
  if (!Parsed)
    static_cast<void>(notRun(400, "malformed", Parsed.error().Message));
  return 0;
}
