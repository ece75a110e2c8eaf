#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace carawaypond::peer {

/// @brief Queue of tasks that any thread may post to the control thread. Its
/// eventfd is readable while tasks are queued.
class TaskQueue {
public:
  using Task = std::function<void()>;

  TaskQueue();
  ~TaskQueue();
  TaskQueue(const TaskQueue &) = delete;
  TaskQueue &operator=(const TaskQueue &) = delete;

  /// @return The eventfd to wait on; owned by the queue.
  [[nodiscard]] int wakeFd() const { return m_WakeFd; }

  /// @brief Adds a task.
  /// @return False if the queue is closed; the task is then discarded.
  bool post(Task Next);
  /// @brief Removes and returns all tasks, oldest first.
  [[nodiscard]] std::vector<Task> takeAll();
  /// @brief Rejects further tasks. Queued tasks can still be taken.
  void close();

private:
  const int m_WakeFd;
  std::mutex m_Mutex;
  std::vector<Task> m_Tasks;
  bool m_Closed = false;
};

} // namespace carawaypond::peer
