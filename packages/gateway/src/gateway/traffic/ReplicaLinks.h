#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "core/id/Ids.h"
#include "gateway/pool/ReplicaPool.h"
#include "gateway/traffic/TrafficView.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace carawaypond::gateway {

/// @brief The connection pools of all known replicas.
class ReplicaLinks {
public:
  ReplicaLinks(boost::asio::io_context &Context, PoolOptions Options)
      : m_Context(Context), m_Options(Options),
        m_Memory(std::make_shared<http::MemoryBudget>(Options.MaxReplyMemory)) {
  }

  /// @return The pool of @p Id, or null if it is unknown.
  [[nodiscard]] std::shared_ptr<ReplicaPool> find(const ServerName &Id) const;

  /// @brief Creates, retires and resizes the pools to match @p View.
  void apply(const TrafficView &View);
  /// @brief Closes connections whose idle timeout has passed.
  void closeExpired(TimePoint Now);

private:
  struct Link {
    std::string Address;
    std::shared_ptr<ReplicaPool> Pool;
  };

  static void retire(const Link &Left);

  boost::asio::io_context &m_Context;
  PoolOptions m_Options;
  std::shared_ptr<http::MemoryBudget> m_Memory;
  std::unordered_map<ServerName, Link> m_Links;
};

} // namespace carawaypond::gateway
