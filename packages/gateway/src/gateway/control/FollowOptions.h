#pragma once

#include "core/time/Time.h"

namespace carawaypond::gateway {

/// @brief How the store is followed.
struct FollowOptions {
  /// How long a watch waits for changes; a connection that fell silent is
  /// noticed after it.
  Milliseconds WatchWait{1'500};
  /// How much longer than that its answer may take.
  Milliseconds AnswerTimeout{900};
  /// Between an answer with changes and the next watch; changes meanwhile come
  /// in one answer.
  Milliseconds ReplicaPause{400};
  Milliseconds ConfigPause{50};
  /// Between failed calls; doubles up to the second one.
  Milliseconds FirstRetry{100};
  Milliseconds MaxRetry{800};
  /// How long a VM that is followed may wait with its answer for news.
  Milliseconds ReaderWait{1'500};
  /// How much longer than that its answer may take.
  Milliseconds ReaderTimeout{500};
  /// Between two looks at who reads the store.
  Milliseconds RolePause{120};
  /// Between two looks at the other VMs' records.
  Milliseconds RegistryInterval{60'000};
};

} // namespace carawaypond::gateway
