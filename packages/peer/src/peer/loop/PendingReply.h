#pragma once

#include "peer/loop/TaskQueue.h"
#include "peer/node/Reply.h"

#include <kj/async.h>
#include <kj/memory.h>

#include <memory>
#include <utility>

namespace carawaypond::peer {

/// @brief A Reply that may be called from any thread, and the promise that it
/// fulfils on the control thread. The promise fails if the Reply is destroyed
/// without having been called.
template <typename T> struct PendingReply {
  /// On the heap, since GCC 12 reports a Result within KJ's optionals as
  /// uninitialised.
  using OwnedResult = kj::Own<Result<T>>;

  Reply<T> OnReply;
  kj::Promise<OwnedResult> Outcome;

  /// @param Queue Runs the reply and the destruction of the fulfiller on the
  /// control thread.
  [[nodiscard]] static PendingReply
  make(const std::shared_ptr<TaskQueue> &Queue) {
    using Fulfiller = kj::Own<kj::PromiseFulfiller<OwnedResult>>;
    auto Pair = kj::newPromiseAndFulfiller<OwnedResult>();
    auto Destroy = [Queue](Fulfiller *Owned) {
      if (!Queue->post([Owned] { delete Owned; }))
        delete Owned;
    };
    std::shared_ptr<Fulfiller> Shared(new Fulfiller(kj::mv(Pair.fulfiller)),
                                      Destroy);
    auto OnReply = [Queue, Shared](Result<T> Outcome) {
      Queue->post([Shared, Outcome = std::move(Outcome)]() mutable {
        (*Shared)->fulfill(kj::heap<Result<T>>(std::move(Outcome)));
      });
    };
    return {.OnReply = std::move(OnReply), .Outcome = kj::mv(Pair.promise)};
  }
};

} // namespace carawaypond::peer
