#include "LoadRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace carawaypond::bench {

namespace asio = boost::asio;

namespace {

using FractionalSeconds = std::chrono::duration<double>;
using FractionalMillis = std::chrono::duration<double, std::milli>;

/// How long after its deadline a query still waits for its answer.
constexpr Milliseconds AnswerGrace{1000};

Duration exactly(double Seconds) {
  return std::chrono::duration_cast<Duration>(FractionalSeconds(Seconds));
}

} // namespace

LoadRun::LoadRun(asio::io_context &Io, LoadPlan Plan)
    : m_Io(Io), m_Plan(std::move(Plan)),
      m_Addresses(Io.get_executor(), m_Plan.Vms) {}

nlohmann::json LoadRun::report() const {
  nlohmann::json Streams = nlohmann::json::object();
  for (const auto &[Name, Report] : m_Reports)
    Streams[Name] = Report.toJson(m_Plan.Length);
  return {{"seed", m_Plan.Seed},
          {"length_ms", m_Plan.Length.count()},
          {"max_lateness_ms", FractionalMillis(m_MaxLateness).count()},
          {"vms", m_Addresses.size()},
          {"streams", std::move(Streams)}};
}

Result<void> LoadRun::run() {
  asio::co_spawn(m_Io, start(), asio::detached);
  m_Io.run();
  return m_Outcome;
}

asio::awaitable<void> LoadRun::start() {
  Result<Milliseconds> Valid = co_await m_Addresses.refresh();
  if (!Valid) {
    m_Outcome = boost::outcome_v2::failure(Valid.error());
    co_return;
  }
  m_ReportFrom = monotonicNow() + m_Plan.WarmUp;
  m_End = m_ReportFrom + m_Plan.Length;
  asio::co_spawn(m_Io, refreshAddresses(Valid.value()), asio::detached);
  std::uint64_t Seed = m_Plan.Seed << 16U;
  for (const LoadStream &Stream : m_Plan.Streams)
    asio::co_spawn(m_Io, arrivals(Stream, ++Seed), asio::detached);
}

asio::awaitable<void> LoadRun::refreshAddresses(Milliseconds Valid) {
  asio::steady_timer Timer(m_Io);
  while (monotonicNow() + Valid < m_End) {
    Timer.expires_after(Valid);
    co_await Timer.async_wait(asio::use_awaitable);
    Result<Milliseconds> Told = co_await m_Addresses.refresh();
    if (Told)
      Valid = Told.value();
  }
}

asio::awaitable<void> LoadRun::arrivals(const LoadStream &Stream,
                                        std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(Stream.Rate);
  asio::steady_timer Timer(m_Io);
  TimePoint DueAt = monotonicNow() + exactly(Gap(Random));
  while (DueAt < m_End) {
    Timer.expires_at(DueAt);
    co_await Timer.async_wait(asio::use_awaitable);
    m_MaxLateness = std::max(m_MaxLateness, monotonicNow() - DueAt);
    asio::co_spawn(m_Io, query(Stream, DueAt), asio::detached);
    DueAt += exactly(Gap(Random));
  }
}

asio::awaitable<void> LoadRun::query(const LoadStream &Stream,
                                     TimePoint DueAt) {
  TimePoint Deadline = DueAt + Stream.Deadline + AnswerGrace;
  Result<http::Response> Answer = co_await send(Stream, Deadline);
  if (DueAt < m_ReportFrom)
    co_return;
  m_Reports[Stream.Name].add(Answer, monotonicNow() - DueAt, Stream.Deadline);
}

asio::awaitable<Result<http::Response>> LoadRun::send(const LoadStream &Stream,
                                                      TimePoint Deadline) {
  Result<http::Response> Answer =
      failure(ErrorCode::NotConnected, "no address");
  for (std::size_t Tried = 0; Tried < m_Addresses.size(); ++Tried) {
    http::Request Query;
    Query.Method = "POST";
    Query.Path = "/v1/query";
    Query.Body = Stream.Body;
    Answer = co_await m_Addresses.next().send(std::move(Query), Deadline);
    if (Answer || Answer.error().Code != ErrorCode::NotConnected)
      break;
  }
  co_return Answer;
}

} // namespace carawaypond::bench
