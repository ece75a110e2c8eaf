#include "backend/search/SearchCodec.h"
#include "core/invariant/Invariant.h"
#include "http/Response.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

using namespace carawaypond;
using namespace carawaypond::backend;

/// @brief Decodes the input as the answer to subrequest "7" and as a status
/// answer.
// libFuzzer requires this function name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  SearchRequest Search;
  Search.Id = "7";
  http::Response Response;
  Response.Status = Size % 2 == 0 ? 200 : 503;
  Response.Body.assign(reinterpret_cast<const char *>(Data), Size);
  SearchOutcome Outcome = decodeSearch(Search, Response);
  bool IsRefused = std::holds_alternative<SearchRefused>(Outcome);
  CARAWAYPOND_INVARIANT(!IsRefused || Response.Status != 200,
                        "status 200 was decoded as a refusal");
  static_cast<void>(decodeStatus(Response));
  return 0;
}
