#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "http/Client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace carawaypond::bench {

/// @brief The addresses that VMs advertise to callers, and the connections to
/// them. Not thread-safe.
class VmAddresses {
public:
  /// @param Vms Callers' ports for the first refresh().
  VmAddresses(boost::asio::any_io_executor Executor,
              std::vector<std::string> Vms);

  [[nodiscard]] std::size_t size() const { return m_Addresses.size(); }

  /// @brief Requests addresses from one VM after another until one answers.
  /// @return How long the addresses are valid.
  boost::asio::awaitable<Result<Milliseconds>> refresh();
  /// @return The client of the next address, in round-robin order.
  http::Client &next();

private:
  http::Client &clientOf(const std::string &Address);

  boost::asio::any_io_executor m_Executor;
  std::vector<std::string> m_Addresses;
  std::map<std::string, http::Client> m_Clients;
  std::size_t m_NextAddress = 0;
};

} // namespace carawaypond::bench
