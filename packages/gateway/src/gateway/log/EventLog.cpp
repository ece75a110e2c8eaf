#include "gateway/log/EventLog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace carawaypond::gateway {

namespace {

constexpr std::int64_t MillisPerSecond = 1'000;

bool isWritable(int Descriptor) {
  pollfd Polled{.fd = Descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&Polled, 1, 0) == 1 && (Polled.revents & POLLOUT) != 0;
}

} // namespace

std::uint64_t EventLog::dropped() const {
  std::lock_guard Locked(m_Mutex);
  return m_Dropped;
}

bool EventLog::admit(const std::string &Event, std::int64_t NowMillis) {
  Rate &Current = m_Rates[Event];
  std::int64_t Second = NowMillis / MillisPerSecond;
  if (Current.Second != Second)
    Current = {.Second = Second};
  if (Current.Lines >= m_Options.MaxLinesPerEvent)
    return false;
  ++Current.Lines;
  return true;
}

void EventLog::append(const std::string &Text, std::int64_t NowMillis) {
  if (m_Pending.size() + Text.size() > m_Options.MaxPendingBytes) {
    ++m_Dropped;
    return;
  }
  m_Pending += "{\"time_ms\":" + std::to_string(NowMillis) + "," + Text + "\n";
}

void EventLog::write(const LogLine &Line) {
  std::int64_t Now = wallNow().Value;
  std::lock_guard Locked(m_Mutex);
  if (!admit(Line.event(), Now)) {
    ++m_Dropped;
    return;
  }
  append(Line.text(), Now);
}

void EventLog::flush() {
  std::lock_guard Locked(m_Mutex);
  if (m_Dropped > m_Reported) {
    LogLine Line("lines_left_out");
    Line.add("count", m_Dropped - m_Reported);
    m_Reported = m_Dropped;
    append(Line.text(), wallNow().Value);
  }
  // A writable pipe accepts PIPE_BUF bytes without blocking.
  while (!m_Pending.empty() && isWritable(m_Options.Descriptor)) {
    std::size_t Part = std::min<std::size_t>(m_Pending.size(), PIPE_BUF);
    ssize_t Written = ::write(m_Options.Descriptor, m_Pending.data(), Part);
    if (Written <= 0)
      return;
    m_Pending.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace carawaypond::gateway
