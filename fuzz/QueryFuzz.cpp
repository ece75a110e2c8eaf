#include "daemon/traffic/QueryRequest.h"
#include "daemon/traffic/QueryResponse.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace carawaypond::daemon;

/// @brief Reads bytes as a query; a refusal must be writable as an answer.
// The fuzzer calls this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string Body(reinterpret_cast<const char *>(Data), Size);
  auto Parsed = parseQueryRequest(Body);
  if (!Parsed)
    static_cast<void>(notRun(400, "malformed", Parsed.error().Message));
  return 0;
}
