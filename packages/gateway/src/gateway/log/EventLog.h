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
  /// Lines of one event within a second.
  unsigned MaxLinesPerEvent = 40;
};

/// @brief Structured logs on a file descriptor, bounded and never blocking.
///
/// Lines wait in memory until flush() writes as much as the reader takes. Lines
/// beyond an event's rate or the space are counted, and the count is logged.
/// May be used by several threads.
class EventLog {
public:
  explicit EventLog(EventLogOptions Options) : m_Options(Options) {}

  [[nodiscard]] std::uint64_t dropped() const;

  /// @brief Keeps @p Line until the next flush().
  void write(const LogLine &Line);
  /// @brief Writes what the descriptor takes without waiting.
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
  std::uint64_t m_Reported = 0; ///< Of the dropped lines.
};

} // namespace carawaypond::gateway
