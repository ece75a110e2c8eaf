#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace carawaypond::peer {

/// @brief Blocking queue for values reported by callbacks on other threads.
template <typename T> class Mailbox {
public:
  void put(T Value) {
    std::lock_guard Lock(m_Mutex);
    m_Values.push_back(std::move(Value));
    m_Changed.notify_all();
  }

  /// @brief Removes and returns the next value; throws if none arrives within
  /// 30 s.
  T take() {
    std::unique_lock Lock(m_Mutex);
    if (!m_Changed.wait_for(Lock, std::chrono::seconds(30),
                            [this] { return !m_Values.empty(); }))
      throw std::runtime_error("no value was reported within 30 s");
    T Value = std::move(m_Values.front());
    m_Values.pop_front();
    return Value;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<T> m_Values;
};

} // namespace carawaypond::peer
