#pragma once

#include "gateway/FakeSite.h"
#include "gateway/app/Gateway.h"
#include "http/Response.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace carawaypond::gateway {

/// @brief A gateway that runs in a thread of its own until it is destroyed.
class RunningGateway {
public:
  explicit RunningGateway(adapter::SiteSettings Settings);
  RunningGateway(const RunningGateway &) = delete;
  RunningGateway &operator=(const RunningGateway &) = delete;
  ~RunningGateway();

  [[nodiscard]] const Gateway::Addresses &addresses() const {
    return m_Addresses;
  }
  /// @brief Sends one request to the callers' port.
  [[nodiscard]] http::Response ask(const std::string &Target,
                                   const std::string &Id = "id1",
                                   const std::string &Method = "GET") const;
  /// @brief Waits, for a generous time, until the gateway is ready.
  /// @return Whether it became ready.
  [[nodiscard]] bool awaitReady() const;
  /// @brief Begins the graceful stop and waits for its end.
  void stop();

private:
  std::unique_ptr<Gateway> m_Gateway;
  Gateway::Addresses m_Addresses;
  std::thread m_Thread;
};

/// @brief Sends one request on a connection of its own.
/// @return The answer; of status 0 if none came.
[[nodiscard]] http::Response askAt(const std::string &Address,
                                   http::Request Asked);

/// @brief Tries until @p Holds or a generous time has passed.
[[nodiscard]] bool eventually(const std::function<bool()> &Holds);

} // namespace carawaypond::gateway
