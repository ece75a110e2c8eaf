#pragma once

#include "http/WorkMeter.h"

#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>

namespace carawaypond::http {

/// @return The steps that the header of one chunk costs. The bytes of
/// extensions cost as many steps as they allow, as nothing uses them.
[[nodiscard]] constexpr std::size_t chunkSteps(std::size_t ExtensionBytes) {
  constexpr std::size_t BytesPerStep = WorkLimits{}.BytesPerStep;
  return 1 + (ExtensionBytes + BytesPerStep - 1) / BytesPerStep;
}

/// @brief Ends one message whose chunks cost far more work than they carry.
/// Called by a Beast parser for the header of each chunk.
class ChunkLimit {
public:
  explicit ChunkLimit(TimePoint Now) { m_Meter.begin(Now); }

  template <typename Text>
  void operator()(std::uint64_t Bytes, Text Extensions,
                  boost::system::error_code &Failed) {
    constexpr std::size_t FramingBytes = 5; // Minimum for one chunk.
    WorkVerdict Verdict =
        m_Meter.add(FramingBytes + Bytes + Extensions.size(),
                    chunkSteps(Extensions.size()), monotonicNow());
    if (Verdict == WorkVerdict::Close)
      Failed = make_error_code(boost::system::errc::protocol_error);
  }

private:
  WorkMeter m_Meter;
};

} // namespace carawaypond::http
