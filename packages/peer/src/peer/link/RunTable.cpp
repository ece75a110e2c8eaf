#include "peer/link/RunTable.h"

#include "core/invariant/Invariant.h"

#include <utility>

namespace carawaypond::peer {

RunTable::RunNumber RunTable::add(const std::vector<PeerSubrequest> &Batch,
                                  TimePoint ExpiresAt, RunObserver Observer) {
  RunNumber Number = m_Next++;
  Run Added{.Observer = std::move(Observer),
            .ExpiresAt = ExpiresAt,
            .Ids = {},
            .OutstandingCount = Batch.size()};
  Added.Ids.reserve(Batch.size());
  for (const PeerSubrequest &Subrequest : Batch) {
    bool IsNew = m_RunBySubrequest.emplace(Subrequest.Id, Number).second;
    CARAWAYPOND_INVARIANT(IsNew, "duplicate subrequest id");
    Added.Ids.push_back(Subrequest.Id);
  }
  if (!Batch.empty())
    m_Runs.emplace(Number, std::move(Added));
  return Number;
}

bool RunTable::deliver(PeerResult Result) {
  auto Entry = m_RunBySubrequest.find(Result.Id);
  if (Entry == m_RunBySubrequest.end())
    return false;
  auto Owner = m_Runs.find(Entry->second);
  CARAWAYPOND_INVARIANT(Owner != m_Runs.end(),
                        "outstanding subrequest without a run");
  m_RunBySubrequest.erase(Entry);
  Run &Open = Owner->second;
  Open.Observer.OnResult(std::move(Result));
  if (--Open.OutstandingCount == 0)
    m_Runs.erase(Owner);
  return true;
}

void RunTable::fail(RunNumber Number, const Error &Reason) {
  auto Node = m_Runs.extract(Number);
  if (Node.empty())
    return;
  const Run &Ended = Node.mapped();
  Ended.Observer.OnLost(Reason, takeOutstanding(Number, Ended));
}

void RunTable::failAll(const Error &Reason) {
  while (!m_Runs.empty())
    fail(m_Runs.begin()->first, Reason);
}

void RunTable::expire(TimePoint Now) {
  std::vector<RunNumber> Expired;
  for (const auto &[Number, Open] : m_Runs)
    if (Open.ExpiresAt <= Now)
      Expired.push_back(Number);
  for (RunNumber Number : Expired)
    fail(Number, {.Code = ErrorCode::TimedOut,
                  .Message = "the owner sent no result by the deadline"});
}

std::vector<SubrequestId> RunTable::takeOutstanding(RunNumber Number,
                                                    const Run &Ended) {
  std::vector<SubrequestId> Taken;
  Taken.reserve(Ended.OutstandingCount);
  for (const SubrequestId &Id : Ended.Ids) {
    auto Entry = m_RunBySubrequest.find(Id);
    if (Entry == m_RunBySubrequest.end() || Entry->second != Number)
      continue;
    m_RunBySubrequest.erase(Entry);
    Taken.push_back(Id);
  }
  return Taken;
}

} // namespace carawaypond::peer
