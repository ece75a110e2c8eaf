#pragma once

#include "coordination/configuration/ForceCheck.h"
#include "daemon/control/ControlState.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace carawaypond::peer {
class PeerNode;
} // namespace carawaypond::peer

namespace carawaypond::daemon {

/// @brief Asks every live VM whether it holds a version of a configuration.
class ForceAsker {
public:
  ForceAsker(boost::asio::io_context &Io, ControlState &State)
      : m_Io(Io), m_State(State) {}

  /// @brief Uses @p Node for calls from now on.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Asks once; a VM that does not answer in time counts as waiting.
  boost::asio::awaitable<ForceCheck> ask(ServiceName Service,
                                         ConfigVersion Version);

private:
  boost::asio::io_context &m_Io;
  ControlState &m_State;
  peer::PeerNode *m_Node = nullptr;
};

} // namespace carawaypond::daemon
