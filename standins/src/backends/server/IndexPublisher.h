#pragma once

#include "backends/index/IndexTimeline.h"
#include "common/HttpCall.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace carawaypond::standins {

/// @brief Writes index objects into the platform's Object API.
class IndexPublisher {
public:
  /// @param Platform "ip:port" of the Object API.
  explicit IndexPublisher(std::string Platform);

  /// @brief Writes the current index, retrying until the platform has stored
  /// it; then confirms its layouts to @p Timeline.
  boost::asio::awaitable<void> publish(IndexTimeline &Timeline);

private:
  boost::asio::awaitable<bool> tryPublish(IndexTimeline &Timeline);

  std::string m_Platform;
};

} // namespace carawaypond::standins
