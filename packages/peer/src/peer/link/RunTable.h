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

/// @brief The subrequests sent on a connection whose results are awaited. Each
/// ends in one result or one loss.
class RunTable {
public:
  using RunNumber = std::uint64_t;

  /// @return How many subrequests have neither a result nor a loss.
  [[nodiscard]] std::size_t outstanding() const { return m_RunOf.size(); }

  /// @brief Awaits the results of @p Batch until @p ExpiresAt.
  RunNumber add(const std::vector<PeerSubrequest> &Batch, TimePoint ExpiresAt,
                RunObserver Observer);
  /// @brief Passes a result on.
  /// @return False when no such subrequest is outstanding.
  bool deliver(PeerResult Result);
  /// @brief Ends what is outstanding of one run.
  void fail(RunNumber Number, const Error &Reason);
  void failAll(const Error &Reason);
  /// @brief Ends the runs whose time is over as TimedOut.
  void expire(TimePoint Now);

private:
  struct Run {
    RunObserver Observer;
    TimePoint ExpiresAt;
    std::vector<SubrequestId> Ids; ///< All that were sent.
    std::size_t Left = 0;          ///< Those still outstanding.
  };

  [[nodiscard]] std::vector<SubrequestId> takeOutstanding(RunNumber Number,
                                                          const Run &Ended);

  std::map<RunNumber, Run> m_Runs;
  std::unordered_map<SubrequestId, RunNumber> m_RunOf;
  RunNumber m_Next = 1;
};

} // namespace carawaypond::peer
