#pragma once

#include <functional>
#include <utility>

namespace carawaypond::standins {

/// @brief Notifies a handler when its caller closes the connection.
class CallWatch {
public:
  [[nodiscard]] bool closed() const { return m_Closed; }

  /// @brief Sets the function to call once when the connection closes.
  void onClose(std::function<void()> OnClose) {
    m_OnClose = std::move(OnClose);
  }

  /// @brief Removes the function that onClose() has set.
  void reset() { m_OnClose = nullptr; }

  /// @brief Records that the connection is closed and calls the function.
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
