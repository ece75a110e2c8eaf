#pragma once

#include "adapter/SiteSettings.h"
#include "http/Listener.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace carawaypond::gateway {

/// @brief A stand-in for the platform's store and for replicas, which speak the
/// published protocol on loopback.
class FakeSite {
public:
  /// @brief What one replica got, and how it answers.
  struct Replica {
    std::string Id;
    std::string Address;
    std::atomic<int> Arrivals = 0;
    std::function<http::Response(const http::Request &)> Answer;
    std::unique_ptr<http::Listener> Listener;
  };

  FakeSite();
  FakeSite(const FakeSite &) = delete;
  FakeSite &operator=(const FakeSite &) = delete;
  ~FakeSite();

  /// @return Settings of a VM on this site, with ports that the system picks.
  [[nodiscard]] adapter::SiteSettings settings(const std::string &Vm) const;

  /// @brief Adds a replica and its entry.
  Replica &addReplica(const std::string &Service);
  /// @brief Writes an object, as its owner would.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Content);
  void remove(const std::string &Kind, const std::string &Name);
  /// @brief Writes a configuration with these routes.
  void putConfig(int Version, nlohmann::json Routes);
  void setStoreDown(bool IsDown) { m_IsDown = IsDown; }

private:
  struct Stored {
    nlohmann::json Object;
    std::uint64_t Revision = 0;
    bool IsDeleted = false;
  };

  boost::asio::awaitable<http::Response> serve(http::Request Asked);
  [[nodiscard]] nlohmann::json list(const std::string &Kind);
  [[nodiscard]] nlohmann::json changes(const std::string &Kind,
                                       std::uint64_t Since);

  boost::asio::io_context m_Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  std::mutex m_Mutex;
  std::map<std::string, std::map<std::string, Stored>> m_Objects;
  std::uint64_t m_Revision = 1;
  std::atomic<bool> m_IsDown = false;
  std::unique_ptr<http::Listener> m_Store;
  std::vector<std::unique_ptr<Replica>> m_Replicas;
  std::thread m_Thread;
};

} // namespace carawaypond::gateway
