#pragma once

#include "core/time/Time.h"
#include "gateway/log/LogLine.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace carawaypond::gateway {

struct EventLogOptions {
  int Descriptor = 1;
  std::size_t MaxPendingBytes = std::size_t{128} << 10;
  /// Maximum lines per event name and second.
  unsigned MaxLinesPerEvent = 40;
};

/// @brief Bounded, non-blocking structured log on a file descriptor.
///
/// Lines are buffered until flush() writes as many as the descriptor accepts.
/// Lines beyond the rate limit of their event or the size of the buffer are
/// dropped; their number is logged. Thread-safe.
class EventLog {
public:
  explicit EventLog(EventLogOptions Options) : m_Options(Options) {}

  [[nodiscard]] std::uint64_t dropped() const;

  /// @brief Buffers @p Line until the next flush().
  void write(const LogLine &Line);
  /// @brief Writes what the descriptor accepts without blocking.
  void flush();

private:
  struct Rate {
    std::int64_t Second = 0;
    unsigned Lines = 0;
  };

  [[nodiscard]] bool admit(const std::string &Event, std::int64_t NowMillis);
  void append(const std::string &Text, std::int64_t NowMillis);

  EventLogOptions m_Options;
  mutable std::mutex m_Mutex;
  std::string m_Pending;
  std::map<std::string, Rate> m_Rates;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_Reported = 0; ///< Dropped lines that were logged.
};

} // namespace carawaypond::gateway
