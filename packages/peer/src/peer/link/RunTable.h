#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Error.h"
#include "core/time/Time.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/node/RunObserver.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace carawaypond::peer {

/// @brief Outstanding subrequests of a connection, grouped by run. Each
/// subrequest is reported exactly once, as a result or as lost.
class RunTable {
public:
  using RunNumber = std::uint64_t;

  /// @return The number of subrequests not yet reported.
  [[nodiscard]] std::size_t outstanding() const {
    return m_RunBySubrequest.size();
  }

  /// @brief Adds a run that awaits the results of @p Batch until @p ExpiresAt.
  RunNumber add(const std::vector<PeerSubrequest> &Batch, TimePoint ExpiresAt,
                RunObserver Observer);
  /// @brief Passes a result to the observer of its run.
  /// @return False if no such subrequest is outstanding.
  bool deliver(PeerResult Result);
  /// @brief Reports the outstanding subrequests of a run as lost.
  void fail(RunNumber Number, const Error &Reason);
  void failAll(const Error &Reason);
  /// @brief Fails expired runs with TimedOut.
  void expire(TimePoint Now);

private:
  struct Run {
    RunObserver Observer;
    TimePoint ExpiresAt;
    std::vector<SubrequestId> Ids;    ///< All subrequests sent.
    std::size_t OutstandingCount = 0; ///< Not yet reported.
  };

  [[nodiscard]] std::vector<SubrequestId> takeOutstanding(RunNumber Number,
                                                          const Run &Ended);

  std::map<RunNumber, Run> m_Runs;
  std::unordered_map<SubrequestId, RunNumber> m_RunBySubrequest;
  RunNumber m_Next = 1;
};

} // namespace carawaypond::peer
