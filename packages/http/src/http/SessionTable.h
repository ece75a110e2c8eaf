#pragma once

#include "core/time/Time.h"
#include "http/Listener.h"
#include "http/MemoryBudget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace carawaypond::http::internal {

class Session;

/// @brief A listener's open connections, and the options, handler and counters
/// that they share.
class SessionTable {
public:
  SessionTable(ListenerOptions Options, Handler Handle);

  [[nodiscard]] const ListenerOptions &options() const { return m_Options; }
  [[nodiscard]] const Handler &handler() const { return m_Handler; }
  [[nodiscard]] const ListenerStats &stats() const { return m_Stats; }
  [[nodiscard]] bool isDraining() const { return m_Draining; }
  [[nodiscard]] bool isEmpty() const { return m_Sessions.empty(); }
  /// @return Whether one more connection from @p Ip is within the limits.
  [[nodiscard]] bool hasRoomFor(const std::string &Ip) const;

  /// @return The memory that the requests of all sessions share.
  [[nodiscard]] const std::shared_ptr<MemoryBudget> &memory() const {
    return m_Memory;
  }
  /// @brief The counters, which the sessions update.
  [[nodiscard]] ListenerStats &counters() { return m_Stats; }
  void add(Session &Added);
  void remove(Session &Removed);
  /// @brief Applies the size limits and timeouts of @p Limits.
  void setLimits(const ListenerOptions &Limits);
  void setDraining(bool Draining) { m_Draining = Draining; }
  /// @brief Cancels the wait of each session whose deadline has passed at @p
  /// Now.
  void expire(TimePoint Now);
  /// @brief Asks each session to close when no request is in flight on it.
  void closeIdle();
  /// @brief Closes every session's socket immediately.
  void abort();

private:
  ListenerOptions m_Options;
  Handler m_Handler;
  std::shared_ptr<MemoryBudget> m_Memory;
  ListenerStats m_Stats;
  bool m_Draining = false;
  std::unordered_set<Session *> m_Sessions;
  std::unordered_map<std::string, std::size_t> m_OpenByIp;
};

} // namespace carawaypond::http::internal
