#include "backends/log/RunLog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace carawaypond::standins {

namespace {

const char *nameOf(RunEvent Event) {
  switch (Event) {
  case RunEvent::Received:
    return "received";
  case RunEvent::Started:
    return "started";
  case RunEvent::Finished:
    return "finished";
  case RunEvent::Refused:
    return "refused";
  case RunEvent::Cancelled:
    return "cancelled";
  }
  return "";
}

std::string quoted(const std::string &Text) {
  return nlohmann::json(Text).dump();
}

void appendEntry(std::string &Text, const RunLogEntry &Entry) {
  Text += R"({"seq":)" + std::to_string(Entry.Seq);
  Text += R"(,"id":)" + quoted(Entry.Id);
  Text.append(R"(,"service":")").append(Entry.Service);
  Text += R"(","shard":)" + std::to_string(Entry.Shard);
  Text.append(R"(,"server":")").append(Entry.Server);
  Text += R"(","version":)" + std::to_string(Entry.Version);
  Text += R"(,"token":)" + quoted(Entry.Token);
  Text.append(R"(,"event":")").append(nameOf(Entry.Event));
  Text.append(R"(","reason":")").append(Entry.Reason);
  Text += R"(","wall_us":)" + std::to_string(Entry.WallMicros) + "}";
}

} // namespace

std::string RunLog::entriesAfter(std::uint64_t Seq, std::size_t Limit) const {
  std::uint64_t First = m_LastSeq - m_Entries.size() + 1;
  std::uint64_t From = std::max(Seq + 1, First);
  std::uint64_t Until = From + std::min<std::uint64_t>(Limit, m_Entries.size());
  Until = std::max(From, std::min(Until, m_LastSeq + 1));
  std::string Text = R"({"entries":[)";
  for (std::uint64_t At = From; At < Until; ++At) {
    if (At > From)
      Text += ',';
    appendEntry(Text, m_Entries[At - First]);
  }
  Text += R"(],"first":)" + std::to_string(First);
  Text += R"(,"next":)" + std::to_string(Until - 1) + "}";
  return Text;
}

nlohmann::json RunLog::runsOf(const std::string &Token) const {
  std::uint64_t Total = 0;
  nlohmann::json Shards = nlohmann::json::array();
  auto Found = m_Runs.find(Token);
  if (Found != m_Runs.end())
    for (const ShardRuns &Of : Found->second) {
      Total += Of.Runs;
      Shards.push_back(
          {{"service", Of.Service}, {"shard", Of.Shard}, {"runs", Of.Runs}});
    }
  return {{"token", Token}, {"runs", Total}, {"shards", std::move(Shards)}};
}

void RunLog::add(RunLogEntry Entry) {
  Entry.Seq = ++m_LastSeq;
  if (Entry.Event == RunEvent::Started && !Entry.Token.empty())
    countRun(Entry);
  m_Entries.push_back(std::move(Entry));
  if (m_Entries.size() > m_Capacity)
    m_Entries.pop_front();
}

void RunLog::countRun(const RunLogEntry &Entry) {
  auto [Of, IsNew] = m_Runs.try_emplace(Entry.Token);
  if (IsNew)
    m_Tokens.push_back(Entry.Token);
  auto Shard = std::find_if(
      Of->second.begin(), Of->second.end(), [&](const ShardRuns &S) {
        return S.Shard == Entry.Shard && S.Service == Entry.Service;
      });
  if (Shard != Of->second.end())
    ++Shard->Runs;
  else
    Of->second.push_back(
        {.Service = Entry.Service, .Shard = Entry.Shard, .Runs = 1});
  if (m_Tokens.size() > m_Capacity) {
    m_Runs.erase(m_Tokens.front());
    m_Tokens.pop_front();
  }
}

} // namespace carawaypond::standins
