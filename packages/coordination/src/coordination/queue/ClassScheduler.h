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

/// @brief A class of callers and its share of the slots.
struct ClassShare {
  ClassName Name;
  double Share = 1.0;
};

/// @brief Orders waiting subrequests. Classes near their share are ordered by
/// earliest deadline first (EDF); a class that is too far ahead of its share
/// comes after them, as in weighted fair queueing.
class ClassScheduler {
public:
  /// @brief Returns whether a subrequest can be sent now.
  using SendPredicate = std::function<bool(SubrequestId)>;

  explicit ClassScheduler(const std::vector<ClassShare> &Shares);

  [[nodiscard]] std::size_t size() const { return m_Size; }

  /// @brief Replaces the shares. Waiting subrequests stay queued.
  void setShares(const std::vector<ClassShare> &Shares);

  void push(const ClassName &Class, TimePoint Deadline, SubrequestId Id);
  /// @brief Removes a subrequest; does nothing if it is not queued.
  void erase(const ClassName &Class, TimePoint Deadline, SubrequestId Id);
  /// @brief Removes the first subrequest for which @p CanSend is true, and
  /// charges its class.
  std::optional<SubrequestId> popFirst(const SendPredicate &CanSend);

private:
  struct ClassQueue {
    double Share = 1.0;
    double VirtualTime = 0; ///< Sum of 1 / Share over its sends.
    std::set<std::pair<TimePoint, SubrequestId>> Waiting;
  };

  ClassQueue &queueOf(const ClassName &Class);
  [[nodiscard]] std::vector<ClassQueue *> order();
  std::optional<SubrequestId> popFrom(ClassQueue &Queue,
                                      const SendPredicate &CanSend);

  std::map<ClassName, ClassQueue> m_Classes;
  double m_VirtualTime = 0;
  std::size_t m_Size = 0;
};

} // namespace carawaypond
