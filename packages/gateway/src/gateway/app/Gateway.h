#pragma once

#include "adapter/SiteSettings.h"
#include "core/outcome/Result.h"
#include "gateway/app/GatewayOptions.h"

#include <memory>
#include <string>

namespace carawaypond::gateway {

/// @brief The process that runs on an entry VM of the users' platform, with one
/// control thread and one traffic thread.
class Gateway {
public:
  /// @brief Listen addresses, with the ports that were bound.
  struct Addresses {
    std::string Callers;
    std::string Ready;
    std::string Directory;
    std::string Peers;
    std::string Metrics;
  };
  /// @brief Opens the listeners on all addresses.
  static Result<std::unique_ptr<Gateway>> open(adapter::SiteSettings Settings,
                                               GatewayOptions Options = {});

  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  ~Gateway();

  [[nodiscard]] Addresses addresses() const;

  /// @brief Serves until SIGTERM, SIGINT or stop(), then stops gracefully.
  /// Unblocks these signals and SIGHUP; those that came before count too.
  void run();
  /// @brief Starts a graceful stop. Thread-safe.
  void stop();

private:
  class Impl;

  explicit Gateway(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace carawaypond::gateway
