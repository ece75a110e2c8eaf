#pragma once

#include <functional>
#include <utility>

namespace carawaypond::http {

/// @brief Tells whether the caller of a request has closed its connection.
class CallerConnection {
public:
  [[nodiscard]] bool isClosed() const { return m_IsClosed; }

  /// @brief Calls @p Handle once, when the caller closes its connection.
  void onClosed(std::function<void()> Handle) { m_Handle = std::move(Handle); }
  /// @brief Records that the caller closed its connection.
  void leave() {
    m_IsClosed = true;
    if (auto Handle = std::exchange(m_Handle, nullptr))
      Handle();
  }
  /// @brief Removes the handler; called once the response is known.
  void end() { m_Handle = nullptr; }

private:
  bool m_IsClosed = false;
  std::function<void()> m_Handle;
};

} // namespace carawaypond::http
