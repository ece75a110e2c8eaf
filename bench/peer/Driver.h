#pragma once

#include "BenchReport.h"
#include "Workload.h"

#include <cstdint>
#include <functional>
#include <future>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawaypond::bench {

/// @brief Coordinator side: keeps a fixed number of batches in flight. Used
/// only on the coordinator's traffic thread.
class Driver {
public:
  using Send = std::function<void(std::vector<peer::PeerSubrequest>)>;

  Driver(const Workload &Load, Send SendBatch)
      : m_Load(Load), m_Send(std::move(SendBatch)) {}

  /// @return A future that is ready when the run length has passed and no batch
  /// is in flight.
  [[nodiscard]] std::future<void> done() { return m_Done.get_future(); }
  [[nodiscard]] BenchReport &report() { return m_Report; }

  void start() {
    for (std::size_t I = 0; I < m_Load.batchesInFlight(); ++I)
      sendBatch();
  }

  void onResult(const peer::PeerResult &Result) {
    auto Entry = m_Batches.find(Result.Id.value() / m_Load.BatchSize);
    m_Report.add(monotonicNow() - Entry->second.SentAt);
    if (--Entry->second.Left != 0)
      return;
    m_Batches.erase(Entry);
    if (!m_Report.over(m_Load.Length))
      sendBatch();
    else if (m_Batches.empty())
      m_Done.set_value();
  }

private:
  struct Batch {
    TimePoint SentAt;
    std::size_t Left = 0;
  };

  void sendBatch() {
    m_Batches[m_NextId / m_Load.BatchSize] = {.SentAt = monotonicNow(),
                                              .Left = m_Load.BatchSize};
    m_Send(m_Load.nextBatch(m_NextId));
  }

  const Workload &m_Load;
  Send m_Send;
  BenchReport m_Report;
  std::promise<void> m_Done;
  std::uint64_t m_NextId = 0;
  std::unordered_map<std::uint64_t, Batch> m_Batches;
};

} // namespace carawaypond::bench
