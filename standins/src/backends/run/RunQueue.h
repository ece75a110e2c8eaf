#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaypond::standins {

/// @brief Result of submitting a subrequest.
enum class Admission {
  Started,
  Queued,
  Shed,
  Expired,
  Cancelled, ///< Cancelled before it started; never runs.
  Repeated,  ///< A subrequest with this id was already submitted.
};

/// @brief State of a subrequest when it is cancelled.
enum class CancelState { NotStarted, Running, Done, Unknown };

/// @brief A subrequest that left the queue.
struct NextRun {
  std::string Id;
  bool Expired = false; ///< Past its deadline: it does not start.
};

/// @brief The slots of a server and the bounded FIFO queue for them.
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

  /// @brief Starts, queues or rejects a subrequest.
  Admission submit(const std::string &Id, WallMillis Deadline, WallMillis Now);
  /// @brief Frees the slot of @p Id.
  /// @return The subrequests that left the queue: the expired ones, and at most
  /// one that started.
  std::vector<NextRun> finish(const std::string &Id, WallMillis Now);
  /// @brief Removes @p Id from the queue; a running subrequest continues.
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
