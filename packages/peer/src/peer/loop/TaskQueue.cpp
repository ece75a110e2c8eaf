#include "peer/loop/TaskQueue.h"

#include "core/invariant/Invariant.h"

#include <cerrno>
#include <cstdint>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace carawaypond::peer {

TaskQueue::TaskQueue() : m_WakeFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  CARAWAYPOND_INVARIANT(m_WakeFd >= 0, "can't create an eventfd");
}

TaskQueue::~TaskQueue() { ::close(m_WakeFd); }

bool TaskQueue::post(Task Next) {
  std::lock_guard Lock(m_Mutex);
  if (m_Closed)
    return false;
  m_Tasks.push_back(std::move(Next));
  if (m_Tasks.size() > 1)
    return true;
  std::uint64_t One = 1;
  ssize_t Written = ::write(m_WakeFd, &One, sizeof One);
  CARAWAYPOND_INVARIANT(Written == sizeof One, "can't write to the eventfd");
  return true;
}

std::vector<TaskQueue::Task> TaskQueue::takeAll() {
  std::vector<Task> Taken;
  std::lock_guard Lock(m_Mutex);
  std::uint64_t Count = 0;
  ssize_t Read = ::read(m_WakeFd, &Count, sizeof Count);
  CARAWAYPOND_INVARIANT(Read == sizeof Count || errno == EAGAIN,
                        "can't read from the eventfd");
  Taken.swap(m_Tasks);
  return Taken;
}

void TaskQueue::close() {
  std::lock_guard Lock(m_Mutex);
  m_Closed = true;
}

} // namespace carawaypond::peer
