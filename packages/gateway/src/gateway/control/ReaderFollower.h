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

namespace carawaypond::gateway {

/// @brief Takes what the VM that reads the store tells.
class ReaderFollower {
public:
  ReaderFollower(boost::asio::io_context &Context, FleetState &State,
                 StoreRole &Role, const FollowOptions &Options);

  /// @brief Follows for ever.
  boost::asio::awaitable<void> run();

private:
  boost::asio::awaitable<Result<ChangesAnswer>> ask(std::string Address);
  /// @return Whether the whole list that it holds is older than this VM's own.
  [[nodiscard]] bool isBehind(const ChangesAnswer &Answer) const;
  void apply(ChangesAnswer Answer);

  boost::asio::io_context &m_Context;
  FleetState &m_State;
  StoreRole &m_Role;
  FollowOptions m_Options;
  RetryPause m_Pause;
  std::unique_ptr<http::Connection> m_Peer;
  ChangesQuestion m_Known;
};

} // namespace carawaypond::gateway
