#pragma once

#include "gateway/control/FleetState.h"
#include "gateway/control/FollowOptions.h"
#include "gateway/control/RetryPause.h"
#include "gateway/control/StoreRole.h"
#include "gateway/peers/Changes.h"
#include "http/Connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace carawaypond::gateway {

/// @brief Follows the VM that reads the store: long-polls it for changes and
/// applies them to the FleetState.
class ReaderFollower {
public:
  ReaderFollower(boost::asio::io_context &Context, FleetState &State,
                 StoreRole &Role, const FollowOptions &Options);

  /// @brief Runs until the io_context stops.
  boost::asio::awaitable<void> run();

private:
  /// @brief Calls the VM at @p Address, on the connection of the last call if
  /// that is still open.
  boost::asio::awaitable<Result<ChangesResponse>> ask(std::string Address);
  /// @return Why the VM that gave the answer can't be followed any more;
  /// nothing if it can.
  [[nodiscard]] std::optional<std::string>
  whyUnfit(const ChangesResponse &Answer) const;
  void apply(ChangesResponse Answer);
  void applyEvacuations(const std::optional<EvacuationReport> &Report);
  /// @param HasReplicas Whether the other VM has ever read the list.
  void applyReplicas(const ReplicaList &List, bool HasReplicas);
  /// @brief Applies the changes since the last answer. If that does not yield
  /// all that the other VM knows, the next call asks for the whole list.
  void applyReplicas(ReplicaDelta Delta);

  boost::asio::io_context &m_Context;
  FleetState &m_State;
  StoreRole &m_Role;
  FollowOptions m_Options;
  RetryPause m_Pause;
  std::unique_ptr<http::Connection> m_Peer; ///< Null before the first call.
  ChangesRequest m_Request; ///< Of the next call: what this VM has received.
  BootTime m_AskedAt;       ///< When the latest call began.
  /// Revision as of which the followed VM's last answer was complete.
  StoreRevision m_AnswerRevision;
};

} // namespace carawaypond::gateway
