#pragma once

#include <functional>
#include <utility>

namespace carawaypond::standins {

/// @brief Tells a handler that its caller has closed the connection.
class CallWatch {
public:
  [[nodiscard]] bool closed() const { return m_Closed; }

  /// @brief Calls @p OnClose once, when the caller is gone.
  void onClose(std::function<void()> OnClose) {
    m_OnClose = std::move(OnClose);
  }

  /// @brief Forgets the handler's function before the next request.
  void reset() { m_OnClose = nullptr; }

  /// @brief Reports that the caller is gone.
  void notifyClosed() {
    m_Closed = true;
    if (auto OnClose = std::exchange(m_OnClose, nullptr))
      OnClose();
  }

private:
  bool m_Closed = false;
  std::function<void()> m_OnClose;
};

} // namespace carawaypond::standins
