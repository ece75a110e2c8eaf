#pragma once

#include "core/time/Time.h"
#include "daemon/view/ControlView.h"

#include <atomic>
#include <memory>

namespace carawaypond::daemon {

/// @brief Publishes the control thread's view to the traffic threads, which
/// read it without taking a lock.
///
/// Two expiry times limit the use of an old view. They expire without any
/// action of the control thread, so a process that was paused refuses requests
/// even before its control thread has run again.
class ViewHolder {
public:
  using ViewPointer = std::shared_ptr<const ControlView>;

  [[nodiscard]] ViewPointer current() const { return m_View.load(); }
  /// @return Whether new queries may be served at @p Now.
  [[nodiscard]] bool mayServe(TimePoint Now) const {
    return Now.time_since_epoch() < m_ServeUntil.load();
  }
  /// @return Whether the information about leaving servers is recent enough at
  /// @p Now to send new subrequests.
  [[nodiscard]] bool maySend(TimePoint Now) const {
    return Now.time_since_epoch() < m_SendUntil.load();
  }

  void publish(ViewPointer View) { m_View.store(std::move(View)); }
  void allowServingUntil(TimePoint Until) {
    m_ServeUntil = Until.time_since_epoch();
  }
  void allowSendingUntil(TimePoint Until) {
    m_SendUntil = Until.time_since_epoch();
  }

private:
  std::atomic<ViewPointer> m_View{std::make_shared<const ControlView>()};
  std::atomic<Duration> m_ServeUntil{Duration::min()};
  std::atomic<Duration> m_SendUntil{Duration::min()};
};

} // namespace carawaypond::daemon
