#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaypond::standins {

/// @brief What becomes of a subrequest that arrives.
enum class Admission {
  Started,
  Queued,
  Shed,
  Expired,
  Cancelled, ///< Was cancelled before it started; never runs.
  Repeated,  ///< Runs or ran under the same id.
};

/// @brief What a cancellation found.
enum class CancelState { NotStarted, Running, Done, Unknown };

/// @brief A subrequest that left the queue.
struct NextRun {
  std::string Id;
  bool Expired = false; ///< Past its deadline: it does not start.
};

/// @brief A server's slots and the bounded first-in first-out queue for them.
class RunQueue {
public:
  struct Options {
    std::size_t Slots = 1;
    std::size_t QueueLimit = 0;
    std::size_t RememberedIds = 4096; ///< Finished and cancelled ones.
  };

  explicit RunQueue(Options Given) : m_Options(Given) {}

  [[nodiscard]] std::size_t running() const { return m_Running; }
  [[nodiscard]] std::size_t queued() const { return m_Waiting.size(); }

  /// @brief Takes a subrequest in.
  Admission submit(const std::string &Id, WallMillis Deadline, WallMillis Now);
  /// @brief Frees the slot of @p Id.
  /// @return What left the queue for it: the expired, and at most one started.
  std::vector<NextRun> finish(const std::string &Id, WallMillis Now);
  /// @brief Takes @p Id out of the queue; running ones go on.
  CancelState cancel(const std::string &Id);

private:
  enum class State { Queued, Running, Done, Cancelled };

  struct Waiting {
    std::string Id;
    WallMillis Deadline;
  };

  void remember(const std::string &Id, State Last);

  Options m_Options;
  std::size_t m_Running = 0;
  std::deque<Waiting> m_Waiting;
  std::unordered_map<std::string, State> m_States;
  std::deque<std::string> m_Remembered; ///< Oldest first.
};

} // namespace carawaypond::standins
