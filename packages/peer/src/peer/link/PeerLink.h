#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "peer/link/Backoff.h"
#include "peer/link/PeerConnection.h"
#include "peer/loop/LoopContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerQuery.h"
#include "peer/message/PeerQueryAnswer.h"
#include "peer/message/StoredObject.h"
#include "peer/node/Reply.h"

#include <kj/async.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief All calls to one address. Connects when there is a call to make;
/// after a failure it refuses calls until the backoff is over.
class PeerLink final : private kj::TaskSet::ErrorHandler {
public:
  enum class ObjectKind { Service, Index };
  using OnSilent = std::function<void(const std::string &Address)>;

  /// @param Silent Told that an exchange timed out.
  PeerLink(LoopContext &Context, std::string Address, OnSilent Silent);
  ~PeerLink() noexcept(false);
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// @return True when it holds nothing that a new link would not have.
  [[nodiscard]] bool idle(TimePoint Now);

  void exchange(Digest Own, Reply<Digest> OnReply, Duration Timeout);
  void fetch(ObjectKind Kind, std::vector<std::string> Names,
             Reply<std::vector<StoredObject>> OnReply, Duration Timeout);
  void query(Incarnation Expected, PeerQuery Query,
             Reply<PeerQueryAnswer> OnReply, Duration Timeout);

  /// @brief Ends everything with an error.
  /// @return Settles when every call's reply was made.
  [[nodiscard]] kj::Promise<void> close();

private:
  /// Told that the connection is up, or why the call can't be sent.
  using Ready = std::function<void(const Result<void> &)>;

  template <typename T>
  void track(kj::Promise<Result<T>> Call, Reply<T> OnReply, Duration Timeout);
  template <typename T>
  [[nodiscard]] kj::Promise<Result<T>> limited(kj::Promise<Result<T>> Call,
                                               Duration Timeout);
  [[nodiscard]] Result<void> checkCall() const;
  [[nodiscard]] Result<void> checkExpected(Incarnation Expected);
  void whenUp(Ready Call);
  void startConnecting();
  [[nodiscard]] kj::Promise<Result<PeerIdentity>> connect();
  void onConnected(Result<PeerIdentity> Peer);
  void watchDisconnect();
  void drop();
  void discardConnection();
  void settleWaiting(const Result<void> &Outcome);
  void taskFailed(kj::Exception &&Cause) override;

  LoopContext &m_Context;
  std::string m_Address;
  OnSilent m_Silent;
  Backoff m_Backoff;
  TimePoint m_RetryAt;
  std::vector<Ready> m_Waiting;
  std::size_t m_OpenCalls = 0;
  bool m_Connecting = false;
  std::uint64_t m_Generation = 0; ///< Counts connections; old ones are ignored.
  std::optional<PeerIdentity> m_Peer; ///< Set while the connection is up.
  kj::Own<PeerConnection> m_Connection;
  kj::Promise<void> m_Attempt = nullptr; ///< Runs while connecting.
  kj::TaskSet m_Tasks;
};

} // namespace carawaypond::peer
