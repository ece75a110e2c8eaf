#pragma once

#include "core/id/Ids.h"

#include <map>
#include <vector>

namespace carawaypond {

struct ShareBoundOptions {
  /// Maximum share of one replica, as a multiple of its equal share. Lower than
  /// the required 1.3, as a replica that becomes comparable later has had fewer
  /// requests.
  double MaxRatio = 1.25;
  /// Replicas that cost up to this multiple of the least cost are comparable.
  /// Others get nothing, so that a slow replica is avoided. A lower ratio
  /// leaves out replicas that merely have a queue.
  double MaxCostRatio = 4;
  /// Maximum credit of a replica, in requests. A higher one lets this VM avoid
  /// a slow replica longer, and makes the load of short periods less even.
  double MaxCredit = 5;
  /// Whether replicas of other data centres are comparable with those of this
  /// VM's. Requests to them cost traffic between data centres.
  bool SpansCentres = false;
};

/// @brief Bounds the share of this VM's requests to one service that a replica
/// gets.
///
/// Handles many VMs that choose at the same moment, by answers that are some
/// time old: without a bound, all of them prefer the replica that was the
/// fastest, and overload the replicas in turn. Each request gives credit to the
/// comparable replicas, MaxRatio requests in total, and takes one from its own
/// replica.
class ShareBound {
public:
  /// @return Whether @p Id may get a request without exceeding its share.
  [[nodiscard]] bool allows(const ServerName &Id) const;

  /// @param Comparable The replicas that share the requests at present.
  void onSent(const ServerName &To, const std::vector<ServerName> &Comparable,
              const ShareBoundOptions &Options);
  void erase(const ServerName &Id) { m_Credits.erase(Id); }

private:
  /// Of a replica that is not known yet: its first request.
  static constexpr double InitialCredit = 1;

  double &credit(const ServerName &Of);

  std::map<ServerName, double> m_Credits; ///< In requests.
};

} // namespace carawaypond
