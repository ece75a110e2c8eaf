#pragma once

#include "coordination/configuration/RolloutStatus.h"
#include "daemon/control/ControlState.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace carawaypond::peer {
class PeerNode;
} // namespace carawaypond::peer

namespace carawaypond::daemon {

/// @brief Asks every live VM whether it holds a given configuration version.
class RolloutChecker {
public:
  RolloutChecker(boost::asio::io_context &Io, ControlState &State)
      : m_Io(Io), m_State(State) {}

  /// @brief Sets the node used for calls to other VMs.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Asks each VM once. A VM that does not answer before the timeout is
  /// reported as still waiting for the version.
  boost::asio::awaitable<RolloutStatus> ask(ServiceName Service,
                                            ConfigVersion Version);

private:
  boost::asio::io_context &m_Io;
  ControlState &m_State;
  peer::PeerNode *m_Node = nullptr;
};

} // namespace carawaypond::daemon
