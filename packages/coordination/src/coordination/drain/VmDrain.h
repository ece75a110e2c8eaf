#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Where this VM stands between its start and its graceful stop.
enum class VmPhase : std::uint8_t {
  Starting, ///< May not serve yet.
  Serving,
  Leaving, ///< Named in no new address answer; still takes queries.
  Closing, ///< No caller holds its address; finishes what is in flight.
  Done,    ///< Nothing is in flight; the process may exit.
};

/// @brief What the daemon has to do.
enum class VmDrainAction {
  Announce,      ///< Tell peers: Membership::leave().
  CloseIdle,     ///< Close connections without a request; repeated.
  StopListening, ///< Accept no connection any more.
  Exit,
};

/// @brief Times of a graceful stop. It lasts SpreadTime + AddressLifetime,
/// then as long as the longest deadline in flight, and cuts nothing.
struct VmDrainOptions {
  Milliseconds SpreadTime{2000};      ///< Until every VM knows.
  Milliseconds AddressLifetime{5000}; ///< As stated in address answers.
};

/// @brief This VM's graceful stop: first it vanishes from address answers,
/// then it waits until the last answer that named it has lapsed, and then for
/// what is in flight.
class VmDrain {
public:
  explicit VmDrain(VmDrainOptions Options) : m_Options(Options) {}

  [[nodiscard]] VmPhase phase() const { return m_Phase; }
  /// @return Whether address answers may name this VM.
  [[nodiscard]] bool isAdvertised() const {
    return m_Phase == VmPhase::Serving;
  }
  /// @return Whether a new query may begin, as far as the stop is concerned.
  [[nodiscard]] bool takesQueries() const {
    return m_Phase == VmPhase::Serving || m_Phase == VmPhase::Leaving;
  }
  /// @return Whether an answer is the last one on its connection.
  [[nodiscard]] bool closesConnections() const {
    return m_Phase == VmPhase::Closing || m_Phase == VmPhase::Done;
  }
  /// @return Whether tickets are given out; a leaving VM would not live to
  /// see them used.
  [[nodiscard]] bool givesTickets() const {
    return m_Phase == VmPhase::Serving;
  }

  /// @brief The VM may serve for the first time.
  void onReady();
  /// @brief A graceful stop was asked for; asking again changes nothing.
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
