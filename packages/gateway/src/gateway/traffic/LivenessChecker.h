#pragma once

#include "core/time/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace carawaypond::gateway {

/// @brief Tells replicas that have ended from those that have only closed a
/// connection, by a new connection to them.
class LivenessChecker {
public:
  using OnEnded = std::function<void()>;

  explicit LivenessChecker(boost::asio::io_context &Context)
      : m_Context(Context), m_Running(std::make_shared<std::size_t>(0)) {}

  /// @brief Checks the replica at @p Remote. A check is left out if there are
  /// too many.
  /// @param Ended Called if nothing listens there any more.
  void check(const boost::asio::ip::tcp::endpoint &Remote, OnEnded Ended);

private:
  boost::asio::io_context &m_Context;
  std::shared_ptr<std::size_t> m_Running; ///< Number of checks.
};

} // namespace carawaypond::gateway
