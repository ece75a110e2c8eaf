#include "platform/PlatformFaults.h"

#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t MaxDelayMillis = 600'000;
constexpr std::uint64_t MaxLostAnswers = 1'000'000;
constexpr std::uint64_t DefaultStaleWatchMillis = 2'000;

Milliseconds readDelay(JsonReader &Reader, const char *Key, Milliseconds Now) {
  auto Default = static_cast<std::uint64_t>(Now.count());
  return Milliseconds(Reader.integerOr(Key, 0, MaxDelayMillis, Default));
}

} // namespace

Result<void> PlatformFaults::apply(const nlohmann::json &Body) {
  PlatformFaults Next = *this;
  JsonReader Reader(Body, "");
  Reader.allowOnly({"down", "delay_ms", "vm_list_lag_ms", "stale_watch",
                    "stale_watch_ms", "lose_answer_after_write", "reject_reads",
                    "reject_writes", "compact"});
  Next.m_Down = Reader.booleanOr("down", m_Down);
  Next.m_Delay = readDelay(Reader, "delay_ms", m_Delay);
  Next.m_VmListLag = readDelay(Reader, "vm_list_lag_ms", m_VmListLag);
  if (Reader.has("stale_watch")) {
    std::uint64_t Lag = Reader.integerOr("stale_watch_ms", 0, MaxDelayMillis,
                                         DefaultStaleWatchMillis);
    bool Stale = Reader.booleanOr("stale_watch", false);
    Next.m_WatchLag = Milliseconds(Stale ? Lag : 0);
  }
  if (Reader.has("lose_answer_after_write")) {
    bool IsCount = Body["lose_answer_after_write"].is_number_unsigned();
    Next.m_LostAnswers = 0;
    Next.m_LostAnswerRatio = 0;
    if (IsCount)
      Next.m_LostAnswers =
          Reader.integer("lose_answer_after_write", 0, MaxLostAnswers);
    else
      Next.m_LostAnswerRatio =
          Reader.numberOr("lose_answer_after_write", 0, 1, 0);
  }
  Next.m_RejectReads = Reader.numberOr("reject_reads", 0, 1, m_RejectReads);
  Next.m_RejectWrites = Reader.numberOr("reject_writes", 0, 1, m_RejectWrites);
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  *this = Next;
  return success();
}

bool PlatformFaults::shouldLoseAnswer() {
  if (m_LostAnswers > 0) {
    --m_LostAnswers;
    return true;
  }
  return happens(m_LostAnswerRatio);
}

bool PlatformFaults::happens(double Probability) {
  if (Probability <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
}

} // namespace carawaypond::standins
