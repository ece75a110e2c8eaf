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

/// @brief RPC client for one peer address. Connects on the first call. After a
/// failure, refuses calls until the backoff has expired.
class PeerLink final : private kj::TaskSet::ErrorHandler {
public:
  enum class ObjectKind { Service, Index };
  using UnresponsiveHandler = std::function<void(const std::string &Address)>;

  /// @param OnUnresponsive Called when an exchange timed out.
  PeerLink(LoopContext &Context, std::string Address,
           UnresponsiveHandler OnUnresponsive);
  ~PeerLink() noexcept(false);
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// @return True if the link has no connection, backoff or task, so that it
  /// can be removed and created again.
  [[nodiscard]] bool isIdle(TimePoint Now);

  void exchange(Digest Own, Reply<Digest> OnReply, Duration Timeout);
  void fetch(ObjectKind Kind, std::vector<std::string> Names,
             Reply<std::vector<StoredObject>> OnReply, Duration Timeout);
  void query(Incarnation Expected, PeerQuery Query,
             Reply<PeerQueryAnswer> OnReply, Duration Timeout);

  /// @brief Closes the connection and fails all calls.
  /// @return Resolves when every call's reply was delivered.
  [[nodiscard]] kj::Promise<void> close();

private:
  /// Called with success when the connection is established, or with the reason
  /// why the call can't be sent.
  using ReadyCallback = std::function<void(const Result<void> &)>;

  template <typename T>
  void track(kj::Promise<Result<T>> Call, Reply<T> OnReply, Duration Timeout);
  template <typename T>
  [[nodiscard]] kj::Promise<Result<T>> withTimeout(kj::Promise<Result<T>> Call,
                                                   Duration Timeout);
  [[nodiscard]] Result<void> checkCallLimit() const;
  [[nodiscard]] Result<void> checkExpected(Incarnation Expected);
  void withConnection(ReadyCallback Call);
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
  UnresponsiveHandler m_OnUnresponsive;
  Backoff m_Backoff;
  TimePoint m_RetryAt;
  std::vector<ReadyCallback> m_Waiting;
  std::size_t m_OpenCalls = 0;
  bool m_Connecting = false;
  /// Number of the current connection; callbacks of older ones are ignored.
  std::uint64_t m_Generation = 0;
  std::optional<PeerIdentity> m_Peer; ///< Set while connected.
  kj::Own<PeerConnection> m_Connection;
  kj::Promise<void> m_ConnectAttempt = nullptr; ///< Pending while connecting.
  kj::TaskSet m_Tasks;
};

} // namespace carawaypond::peer
