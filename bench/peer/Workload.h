#pragma once

#include "peer/peer.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::bench {

/// @brief The subrequests that a benchmark run sends.
struct Workload {
  std::size_t BatchSize = 16;
  std::size_t InFlight = 256; ///< Approximate subrequests in flight.
  std::size_t RequestBytes = 128;
  std::size_t PayloadBytes = 256;
  Duration Length = std::chrono::seconds(2);

  [[nodiscard]] std::size_t batchesInFlight() const {
    return std::max<std::size_t>(1, InFlight / BatchSize);
  }

  /// @return The next batch. Its ids start at @p NextId, which is advanced.
  [[nodiscard]] std::vector<peer::PeerSubrequest>
  nextBatch(std::uint64_t &NextId) const {
    auto Request =
        std::make_shared<const std::string>(std::string(RequestBytes, 'q'));
    WallMillis Deadline{wallNow().Value + DeadlineMillis};
    std::vector<peer::PeerSubrequest> Batch(BatchSize);
    for (peer::PeerSubrequest &Subrequest : Batch) {
      Subrequest.Id = SubrequestId(NextId++);
      Subrequest.Service = ServiceName("caseworker-desk-01");
      Subrequest.Class = ClassName("interactive");
      Subrequest.Version = IndexVersion(1);
      Subrequest.Deadline = Deadline;
      Subrequest.Request = Request;
    }
    return Batch;
  }

  /// @return The owner's answer to @p Subrequest.
  [[nodiscard]] peer::PeerResult
  answer(const peer::PeerSubrequest &Subrequest) const {
    peer::PeerResult Result;
    Result.Id = Subrequest.Id;
    Result.Outcome = peer::PeerOutcome::Answered;
    Result.Version = Subrequest.Version;
    Result.Payload = std::string(PayloadBytes, 'r');
    Result.Server = ServerName("s-1");
    return Result;
  }

private:
  static constexpr std::int64_t DeadlineMillis = 60'000;
};

} // namespace carawaypond::bench
