#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Lifecycle phase of this VM, from its start to its graceful stop.
enum class VmPhase : std::uint8_t {
  Starting, ///< May not serve yet.
  Serving,
  Leaving, ///< In no new address answer; still accepts queries.
  Closing, ///< No caller holds its address; completes work in flight.
  Done,    ///< Nothing is in flight; the process may exit.
};

/// @brief Action for the daemon to perform.
enum class VmDrainAction {
  Announce,      ///< Tell peers: Membership::leave().
  CloseIdle,     ///< Close idle connections; returned repeatedly.
  StopListening, ///< Accept no further connections.
  Exit,
};

/// @brief Times of a graceful stop. It lasts SpreadTime + AddressLifetime and
/// then up to the longest deadline in flight. It aborts no query.
struct VmDrainOptions {
  Milliseconds SpreadTime{2000};      ///< Until every VM knows of the stop.
  Milliseconds AddressLifetime{5000}; ///< As stated in address answers.
};

/// @brief This VM's graceful stop. The VM is first left out of address answers,
/// then waits until the last answer that contained it has expired, and then
/// until no work is in flight.
class VmDrain {
public:
  explicit VmDrain(VmDrainOptions Options) : m_Options(Options) {}

  [[nodiscard]] VmPhase phase() const { return m_Phase; }
  /// @return Whether address answers may contain this VM.
  [[nodiscard]] bool isAdvertised() const {
    return m_Phase == VmPhase::Serving;
  }
  /// @return Whether the current phase allows new queries.
  [[nodiscard]] bool takesQueries() const {
    return m_Phase == VmPhase::Serving || m_Phase == VmPhase::Leaving;
  }
  /// @return Whether a connection is closed after the answer.
  [[nodiscard]] bool closesConnections() const {
    return m_Phase == VmPhase::Closing || m_Phase == VmPhase::Done;
  }
  /// @return Whether tickets are issued. A leaving VM would stop before they
  /// are used.
  [[nodiscard]] bool issuesTickets() const {
    return m_Phase == VmPhase::Serving;
  }

  /// @brief To be called when the VM may serve for the first time.
  void onReady();
  /// @brief Begins the graceful stop. Idempotent.
  std::vector<VmDrainAction> begin(TimePoint Now);
  /// @param InFlight Queries of callers, subrequests for peers and operators'
  /// submissions that are not yet answered.
  std::vector<VmDrainAction> tick(std::size_t InFlight, TimePoint Now);

private:
  VmDrainOptions m_Options;
  VmPhase m_Phase = VmPhase::Starting;
  std::optional<TimePoint> m_BegunAt;
};

} // namespace carawaypond
