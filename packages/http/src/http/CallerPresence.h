#pragma once

#include <functional>
#include <utility>

namespace carawaypond::http {

/// @brief Whether the caller of a request still waits for the answer.
class CallerPresence {
public:
  [[nodiscard]] bool isGone() const { return m_IsGone; }

  /// @brief Calls @p Handle, once, when the caller closes its connection.
  void onGone(std::function<void()> Handle) { m_Handle = std::move(Handle); }
  /// @brief Records that the caller closed its connection.
  void leave() {
    m_IsGone = true;
    if (auto Handle = std::exchange(m_Handle, nullptr))
      Handle();
  }
  /// @brief Forgets the handler once the answer is known.
  void end() { m_Handle = nullptr; }

private:
  bool m_IsGone = false;
  std::function<void()> m_Handle;
};

} // namespace carawaypond::http
