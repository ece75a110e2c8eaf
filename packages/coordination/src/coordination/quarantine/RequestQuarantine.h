#pragma once

#include "coordination/quarantine/QuarantineReport.h"
#include "core/time/Time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carawaypond {

struct QuarantineOptions {
  /// Replicas that must have ended under a content.
  std::size_t MinCrashes = 3;
  /// Crashes under different requests within this time count as one: replicas
  /// that share a machine or rack end together, whatever they run.
  Milliseconds SameCause{50};
  /// Length of a quarantine after MinCrashes; doubles with each further crash.
  Milliseconds FirstLength{30'000};
  Milliseconds MaxLength{600'000};
  /// How long a crash is remembered. Longer than MaxLength, so that one more
  /// crash after a quarantine begins the next one.
  Milliseconds Retention{900'000};
  std::size_t MaxContents = 256;
  std::size_t MaxCrashes = 8; ///< Remembered of one content; the newest ones.
};

/// @brief Decides which requests are not sent to replicas, because replicas end
/// when they run them.
///
/// Handles a request that ends each replica that begins to run it, and that
/// callers send again and again, under other ids and to any VM. VMs tell each
/// other which replicas ended under which content; merging reports is
/// commutative, associative and idempotent. Other requests lose their replicas
/// too, as they run beside it or as replicas end without it: a replica that
/// survives a content clears it of all crashes until then.
///
/// A quarantine ends by itself. The next such request is sent, and one more
/// crash begins a longer quarantine.
class RequestQuarantine {
public:
  explicit RequestQuarantine(QuarantineOptions Options = {})
      : m_Options(Options) {}

  /// @return Whether no crash is remembered, so that no content needs a look.
  [[nodiscard]] bool isEmpty() const { return m_Contents.empty(); }
  /// @return Whether requests with this content are not to be sent.
  [[nodiscard]] bool holds(ContentHash Content, TimePoint Now) const;
  /// @return The number of contents that are not to be sent.
  [[nodiscard]] std::size_t count(TimePoint Now) const;
  /// @return What other VMs should know, the most urgent first, at most @p Max.
  [[nodiscard]] std::vector<QuarantineReport> reports(std::size_t Max,
                                                      TimePoint Now) const;

  /// @brief Records that a replica ended while it ran a request.
  /// @return Whether that begins a quarantine.
  bool onCrash(ContentHash Content, ReplicaHash Replica, RequestHash Request,
               TimePoint At, TimePoint Now);
  /// @brief Records that a replica answered such a request, or failed it, and
  /// lives. Has no effect if no crash is remembered.
  void onSurvived(ContentHash Content, TimePoint At);
  /// @brief Takes in what another VM knows.
  void onReport(const QuarantineReport &Told, TimePoint Now);
  /// @brief Forgets what is outdated.
  void expire(TimePoint Now);

private:
  struct Crash {
    ReplicaHash Replica;
    RequestHash Request;
    TimePoint At;
  };
  struct Known {
    std::vector<Crash> Crashes; ///< Oldest first.
    std::optional<TimePoint> SurvivedAt;
  };

  /// @return The number of crashes with causes of their own.
  [[nodiscard]] std::size_t causes(const Known &Of) const;
  /// @return When the latest quarantine ends; nothing if there was none.
  [[nodiscard]] std::optional<TimePoint> heldUntil(const Known &Of) const;
  /// @return Whether less is known against @p Left: fewer causes, or older
  /// ones.
  [[nodiscard]] bool isLess(const Known &Left, const Known &Right) const;
  /// @brief Makes room for one content, but drops none in quarantine.
  /// @return Whether there is room now.
  bool dropOne(TimePoint Now);
  /// @return The content's entry, or null if there is no room for one.
  Known *entry(ContentHash Content, TimePoint Now);
  void add(Known &To, Crash Added) const;
  void clear(Known &Of, TimePoint SurvivedAt) const;

  QuarantineOptions m_Options;
  std::unordered_map<ContentHash, Known> m_Contents;
};

} // namespace carawaypond
