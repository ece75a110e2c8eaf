#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace carawaypond {

/// @brief A class of callers and its part of the slots.
struct ClassShare {
  ClassName Name;
  double Share = 1.0;
};

/// @brief Orders waiting subrequests: by deadline (EDF) while every class stays
/// near its share, and by share once a class has run ahead of the others.
class ClassScheduler {
public:
  /// @brief Says whether a subrequest can be sent now.
  using Fits = std::function<bool(SubrequestId)>;

  explicit ClassScheduler(const std::vector<ClassShare> &Shares);

  [[nodiscard]] std::size_t size() const { return m_Size; }

  /// @brief Takes other shares; what waits goes on waiting.
  void setShares(const std::vector<ClassShare> &Shares);

  void push(const ClassName &Class, TimePoint Deadline, SubrequestId Id);
  /// @brief Takes a subrequest out; harmless when it does not wait.
  void erase(const ClassName &Class, TimePoint Deadline, SubrequestId Id);
  /// @brief Takes out the first subrequest that fits, and charges its class.
  std::optional<SubrequestId> popFirst(const Fits &CanSend);

private:
  struct ClassQueue {
    double Share = 1.0;
    double VirtualTime = 0; ///< Sends so far, each weighing 1 / Share.
    std::set<std::pair<TimePoint, SubrequestId>> Waiting;
  };

  ClassQueue &queueOf(const ClassName &Class);
  [[nodiscard]] std::vector<ClassQueue *> order();
  std::optional<SubrequestId> popFrom(ClassQueue &Queue, const Fits &CanSend);

  std::map<ClassName, ClassQueue> m_Classes;
  double m_VirtualTime = 0;
  std::size_t m_Size = 0;
};

} // namespace carawaypond
