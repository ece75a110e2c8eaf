#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <map>
#include <string>

namespace carawaypond::standins {

/// @brief A VM of the VM list.
struct VmEntry {
  std::string Name;
  std::string Centre;
  std::string Address;
  bool Leaving = false;
};

/// @brief The current VM list, and the list published after a lag.
class VmRegistry {
public:
  using Vms = std::map<std::string, VmEntry>;

  /// @return The list that is visible at @p Now.
  [[nodiscard]] const Vms &published(TimePoint Now);
  [[nodiscard]] const Vms &current() const { return m_Current; }

  /// @brief Sets the delay with which later changes are published.
  void setLag(Duration Lag) { m_Lag = Lag; }
  /// @brief Replaces the current list.
  void replace(Vms Current, TimePoint Now);
  /// @brief Sets one VM's state.
  /// @return Whether that VM exists.
  bool setLeaving(const std::string &Name, bool Leaving, TimePoint Now);
  /// @brief Removes one VM.
  /// @return Whether that VM existed.
  bool remove(const std::string &Name, TimePoint Now);

private:
  struct Pending {
    TimePoint Due;
    Vms List;
  };

  void publishLater(TimePoint Now);

  Duration m_Lag{0};
  Vms m_Current;
  Vms m_Published;
  std::deque<Pending> m_Pending;
};

/// @brief Parses `{"vms": [..]}`, the body of `GET /v1/vms`.
[[nodiscard]] Result<VmRegistry::Vms> parseVms(const nlohmann::json &Value);

/// @brief Formats @p List in the form that parseVms() parses.
[[nodiscard]] nlohmann::json toJson(const VmRegistry::Vms &List);

} // namespace carawaypond::standins
