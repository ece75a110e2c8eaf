#pragma once

#include "coordination/quota/QuotaHolder.h"
#include "gateway/control/ChangeSignal.h"
#include "http/Connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace carawaypond::gateway {

/// @brief Whether a request may run under its workspace's quota.
enum class QuotaResult {
  Granted,
  OverQuota,
  /// No allocator has answered in time, or the workspace lost its quota while
  /// the request waited.
  Unavailable,
};

/// @brief The result, and the token if one was spent.
struct QuotaAdmission {
  QuotaResult Result = QuotaResult::Granted;
  /// Nothing if it was refused, or the workspace has no quota.
  std::optional<QuotaToken> Token;
};

/// @brief How a call to the allocator ended, for the control thread.
struct AllocatorReport {
  std::uint64_t Term = 0; ///< Of the allocator that was called; 0 for none.
  bool WasReached = false;
  /// Whether another incarnation answered in its place.
  bool HasEnded = false;
  /// The allocator that another VM named instead.
  std::optional<AllocatorRecord> Named;
};

/// @brief Lets requests run within the quota of their workspace, and calls the
/// allocator for tokens. Used by the traffic thread only.
class QuotaGate {
public:
  using OnReport = std::function<void(const AllocatorReport &)>;

  /// @param Report Called as a call to the allocator ends, and when there is
  /// none to call.
  QuotaGate(boost::asio::io_context &Context, QuotaHolder Holder,
            OnReport Report);

  /// @brief Calls @p Allocator from now on; nothing if none is known.
  void setAllocator(std::optional<AllocatorRecord> Allocator);
  /// @brief Grants tokens to the workspaces of @p Configured that have a quota,
  /// and to no other. Requests of the others stop waiting.
  void retain(const WorkspaceTable &Configured);
  /// @brief Waits for a token, until @p Deadline at most.
  boost::asio::awaitable<QuotaAdmission> admit(WorkspaceName Of,
                                               TimePoint Deadline);
  /// @brief Returns the token of a request that no replica has got.
  void returnToken(const QuotaToken &Token);
  /// @return How long until a request of the workspace may find a token.
  [[nodiscard]] Milliseconds retryAfter(const WorkspaceName &Of) const {
    return m_Holder.retryAfter(Of, bootNow());
  }
  /// @brief Makes a call to the allocator if one is due.
  void callIfDue();

private:
  boost::asio::awaitable<void> callAllocator(QuotaCall Call,
                                             AllocatorRecord Called);
  boost::asio::awaitable<std::optional<QuotaAnswer>>
  sendCall(const QuotaCall &Call, const std::string &Address);
  void finishCall(const std::optional<QuotaAnswer> &Answer,
                  const AllocatorRecord &Called);

  boost::asio::io_context &m_Context;
  QuotaHolder m_Holder;
  OnReport m_Report;
  /// Notified when the allocator has answered, and on a new configuration.
  ChangeSignal m_Signal;
  std::optional<AllocatorRecord> m_Allocator;
  std::unique_ptr<http::Connection> m_Connection;
};

} // namespace carawaypond::gateway
