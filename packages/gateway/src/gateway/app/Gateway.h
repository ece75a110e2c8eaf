#pragma once

#include "adapter/SiteSettings.h"
#include "core/outcome/Result.h"

#include <memory>

namespace carawaypond::gateway {

/// @brief The whole process on an entry VM of the users' platform: one thread
/// for control, one for traffic.
class Gateway {
public:
  /// @brief Listens on all addresses.
  static Result<std::unique_ptr<Gateway>> open(adapter::SiteSettings Settings);

  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  ~Gateway();

  /// @brief Serves until SIGTERM, then stops gracefully.
  void run();

private:
  class Impl;

  explicit Gateway(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace carawaypond::gateway
