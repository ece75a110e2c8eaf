#pragma once

#include "coordination/configuration/Submission.h"
#include "coordination/configuration/SubmissionAction.h"
#include "coordination/configuration/SubmissionOutcome.h"
#include "core/outcome/Result.h"
#include "daemon/control/ControlState.h"
#include "platform/ObjectClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace carawaypond::daemon {

/// @brief Executes operators' submissions against the Object API.
class SubmissionRunner {
public:
  SubmissionRunner(boost::asio::io_context &Io, ControlState &State,
                   platform::ObjectClient &Store)
      : m_Io(Io), m_State(State), m_Store(Store) {}

  /// @return The number of submissions that have no outcome yet.
  [[nodiscard]] std::size_t inFlight() const { return m_InFlight; }

  /// @brief Executes one submission until it has an outcome.
  boost::asio::awaitable<SubmissionOutcome> run(Submission Wanted,
                                                TimePoint Deadline);
  /// @brief Reads a service's object from the store.
  /// @return The object, std::nullopt if it does not exist, or an error.
  boost::asio::awaitable<Result<std::optional<StoredObject>>>
  read(ServiceName Service, TimePoint Deadline);

private:
  boost::asio::awaitable<WriteResult> write(const WriteObject &Asked,
                                            TimePoint Deadline);
  boost::asio::awaitable<void> wait(Milliseconds Time);

  boost::asio::io_context &m_Io;
  ControlState &m_State;
  platform::ObjectClient &m_Store;
  std::size_t m_InFlight = 0;
};

} // namespace carawaypond::daemon
