#pragma once

#include "adapter/SiteSettings.h"
#include "core/outcome/Result.h"

#include <memory>
#include <string>

namespace carawaypond::gateway {

/// @brief The whole process on an entry VM of the users' platform: one thread
/// for control, one for traffic.
class Gateway {
public:
  /// @brief Where it listens, with the real ports.
  struct Addresses {
    std::string Callers;
    std::string Ready;
    std::string Directory;
    std::string Peers;
    std::string Metrics;
  };
  /// @brief Listens on all addresses.
  static Result<std::unique_ptr<Gateway>> open(adapter::SiteSettings Settings);

  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  ~Gateway();

  [[nodiscard]] Addresses addresses() const;

  /// @brief Serves until SIGTERM or stop(), then stops gracefully.
  void run();
  /// @brief Begins the graceful stop; may be called by any thread.
  void stop();

private:
  class Impl;

  explicit Gateway(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace carawaypond::gateway
