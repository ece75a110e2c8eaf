#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "http/Client.h"
#include "platform/CallCounts.h"
#include "platform/ListedVm.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace carawaypond::platform {

/// @brief Reads the platform's list of VMs. A call must end before the client
/// is destroyed. Errors are as for ObjectClient.
class VmListClient {
public:
  /// @param Address "ip:port" of the platform.
  VmListClient(boost::asio::any_io_executor Executor, std::string Address);

  [[nodiscard]] const CallCounts &counts() const { return m_Counts; }

  boost::asio::awaitable<Result<std::vector<ListedVm>>>
  list(TimePoint Deadline);

private:
  http::Client m_Client;
  CallCounts m_Counts;
};

} // namespace carawaypond::platform
