#pragma once

#include "coordination/fleet/VmLoad.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

struct ReaderChoiceOptions {
  /// How long a starting VM waits to hear others before it reads itself.
  Milliseconds StartPatience{500};
  /// How long a VM reads itself after its reader failed it.
  Milliseconds DistrustTime{4'000};
};

/// @brief Decides whether this VM follows the store itself or follows another
/// VM that does, so that the calls to the store grow with the data centres and
/// not with the VMs.
///
/// Each data centre has one reader: of the VMs there that hear the store, the
/// first by name. A VM whose reader fails it reads the store itself at once.
class ReaderChoice {
public:
  ReaderChoice(ReaderChoiceOptions Options, TimePoint Now)
      : m_Options(Options), m_StartedAt(Now) {}

  /// @return Whom to follow; nobody if this VM must read the store itself.
  [[nodiscard]] std::optional<VmRecord>
  reader(const LoadedVm &Self, const std::vector<LoadedVm> &Heard,
         TimePoint Now) const;
  /// @return Whether it is too early to read the store.
  [[nodiscard]] bool isTooEarly(const std::vector<LoadedVm> &Heard,
                                TimePoint Now) const;

  /// @brief The reader did not answer, or lost the store.
  void onReaderFailed(TimePoint Now);

private:
  ReaderChoiceOptions m_Options;
  TimePoint m_StartedAt;
  std::optional<TimePoint> m_FailedAt;
};

} // namespace carawaypond
