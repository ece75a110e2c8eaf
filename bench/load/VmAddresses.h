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

/// @brief The addresses that the system told its callers to use, and the
/// connections to them. Belongs to one thread.
class VmAddresses {
public:
  /// @param Vms Callers' ports to ask first.
  VmAddresses(boost::asio::any_io_executor Executor,
              std::vector<std::string> Vms);

  [[nodiscard]] std::size_t size() const { return m_Addresses.size(); }

  /// @brief Asks one VM after the other for addresses until one answers.
  /// @return How long they may be used.
  boost::asio::awaitable<Result<Milliseconds>> refresh();
  /// @brief The connections to the address whose turn it is.
  http::Client &next();

private:
  http::Client &clientOf(const std::string &Address);

  boost::asio::any_io_executor m_Executor;
  std::vector<std::string> m_Addresses;
  std::map<std::string, http::Client> m_Clients;
  std::size_t m_Turn = 0;
};

} // namespace carawaypond::bench
