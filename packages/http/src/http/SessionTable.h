#pragma once

#include "core/time/Time.h"
#include "http/Listener.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace carawaypond::http::internal {

class Session;

/// @brief A listener's open connections, and what they share.
class SessionTable {
public:
  SessionTable(ListenerOptions Options, Handler Handle);

  [[nodiscard]] const ListenerOptions &options() const { return m_Options; }
  [[nodiscard]] const Handler &handler() const { return m_Handler; }
  [[nodiscard]] const ListenerStats &stats() const { return m_Stats; }
  [[nodiscard]] bool isDraining() const { return m_Draining; }
  [[nodiscard]] bool isEmpty() const { return m_Sessions.empty(); }
  /// @return Whether one more connection from @p Ip fits the limits.
  [[nodiscard]] bool hasRoomFor(const std::string &Ip) const;

  /// @brief The counters, for sessions to count in.
  [[nodiscard]] ListenerStats &counters() { return m_Stats; }
  void add(Session &Added);
  void remove(Session &Removed);
  /// @brief Takes sizes and timeouts from @p Limits.
  void setLimits(const ListenerOptions &Limits);
  void setDraining(bool Draining) { m_Draining = Draining; }
  /// @brief Ends what each session waits for if it has waited too long.
  void expire(TimePoint Now);
  /// @brief Asks each session to close when no request is in flight on it.
  void closeIdle();
  /// @brief Closes every session's socket at once.
  void abort();

private:
  ListenerOptions m_Options;
  Handler m_Handler;
  ListenerStats m_Stats;
  bool m_Draining = false;
  std::unordered_set<Session *> m_Sessions;
  std::unordered_map<std::string, std::size_t> m_OpenByIp;
};

} // namespace carawaypond::http::internal
