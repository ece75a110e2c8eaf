#pragma once

#include "core/outcome/Result.h"
#include "daemon/settings/Settings.h"

#include <memory>
#include <string>

namespace carawaypond::daemon {

/// @brief The addresses on which a daemon listens.
struct DaemonAddresses {
  std::string Callers;
  std::string Operators;
  std::string Peers;
};

/// @brief One daemon, with a control thread, a traffic thread and a thread for
/// calls between VMs.
class Daemon {
public:
  /// @brief Opens all ports.
  /// @return The daemon, or the error of the address that can't be listened on.
  [[nodiscard]] static Result<std::unique_ptr<Daemon>> open(Settings Config);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  [[nodiscard]] const DaemonAddresses &addresses() const;

  /// @brief Serves until a graceful stop has finished. SIGTERM and SIGINT begin
  /// a graceful stop.
  void run();

private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace carawaypond::daemon
