#pragma once

#include "core/time/Time.h"
#include "daemon/view/ControlView.h"

#include <atomic>
#include <memory>

namespace carawaypond::daemon {

/// @brief Hands the control thread's view to the traffic threads without a
/// lock on their side.
///
/// Two times bound what an old view may still be used for. They pass by
/// themselves, so that a process that was paused refuses before its control
/// thread has run again.
class ViewHolder {
public:
  using ViewPointer = std::shared_ptr<const ControlView>;

  [[nodiscard]] ViewPointer current() const { return m_View.load(); }
  /// @return Whether new queries may be served at @p Now.
  [[nodiscard]] bool mayServe(TimePoint Now) const {
    return Now.time_since_epoch() < m_ServeUntil.load();
  }
  /// @return Whether the signs of leaving servers are fresh enough at @p Now
  /// for new subrequests to be sent.
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
