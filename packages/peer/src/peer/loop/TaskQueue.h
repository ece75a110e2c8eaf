#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace carawaypond::peer {

/// @brief Tasks posted by any thread to the node's thread, with an eventfd that
/// is readable while there are any.
class TaskQueue {
public:
  using Task = std::function<void()>;

  TaskQueue();
  ~TaskQueue();
  TaskQueue(const TaskQueue &) = delete;
  TaskQueue &operator=(const TaskQueue &) = delete;

  /// @return The descriptor to wait on; owned by the queue.
  [[nodiscard]] int wakeFd() const { return m_WakeFd; }

  /// @brief Adds a task.
  /// @return False when the queue is closed and the task was dropped.
  bool post(Task Next);
  /// @brief Takes all tasks, oldest first.
  [[nodiscard]] std::vector<Task> takeAll();
  /// @brief Refuses tasks from now on; those that are queued may be taken.
  void close();

private:
  const int m_WakeFd;
  std::mutex m_Mutex;
  std::vector<Task> m_Tasks;
  bool m_Closed = false;
};

} // namespace carawaypond::peer
