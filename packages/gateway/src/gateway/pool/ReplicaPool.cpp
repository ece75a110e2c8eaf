#include "gateway/pool/ReplicaPool.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaypond::gateway {

namespace {

constexpr const char *Retired = "the replica leaves";
/// Shortest time between two log lines on the same replica.
constexpr Milliseconds OverWorkLogInterval{60'000};

} // namespace

ReplicaPool::ReplicaPool(boost::asio::io_context &Context,
                         boost::asio::ip::tcp::endpoint Remote,
                         PoolOptions Options,
                         std::shared_ptr<http::MemoryBudget> Memory)
    : m_Context(Context), m_Remote(std::move(Remote)), m_Options(Options),
      m_Memory(std::move(Memory)) {}

ReplicaPool::~ReplicaPool() {
  *m_IsAlive = false;
  for (Slot &Each : m_Open)
    if (!Each.Connection->isBusy())
      Each.Connection->cancel();
}

std::shared_ptr<ReplicaConnection> ReplicaPool::takeIdle(const Exchange &For) {
  TimePoint Now = monotonicNow();
  for (std::size_t I = m_Open.size(); I > 0; --I) {
    Slot &Each = m_Open[I - 1];
    if (Each.Connection->isBusy())
      continue;
    if (!Each.Connection->isReusable(For.IsIdempotent, Now)) {
      Each.Connection->cancel();
      m_Open.erase(m_Open.begin() + static_cast<std::ptrdiff_t>(I) - 1);
      continue;
    }
    if (!Each.Connection->hasCarried(For.RequestId))
      return Each.Connection;
  }
  return nullptr;
}

void ReplicaPool::closeOneIdle() {
  auto Idle = std::find_if(m_Open.begin(), m_Open.end(), [](const Slot &Each) {
    return !Each.Connection->isBusy();
  });
  if (Idle == m_Open.end())
    return;
  Idle->Connection->cancel();
  m_Open.erase(Idle);
}

std::shared_ptr<ReplicaConnection> ReplicaPool::acquire(const Exchange &For) {
  if (auto Idle = takeIdle(For))
    return Idle;
  if (m_Open.size() >= m_Limit)
    closeOneIdle();
  if (m_Open.size() >= m_Limit)
    return nullptr;
  ConnectionNumber Number(++m_Opened);
  auto Made = std::make_shared<ReplicaConnection>(m_Context, Number, m_Remote,
                                                  m_Options, m_Memory);
  m_Open.push_back({.Connection = Made});
  return Made;
}

ReplicaPool::Ticket ReplicaPool::send(Exchange Request) {
  Ticket Id = m_NextTicket++;
  auto Free = m_IsRetired ? nullptr : acquire(Request);
  if (Free)
    start(Free, Id, std::move(Request));
  else
    m_Waiting.push_back({.Id = Id, .Request = std::move(Request)});
  if (m_IsRetired)
    retire();
  return Id;
}

void ReplicaPool::retire() {
  m_IsRetired = true;
  // Posted, because Done of a returned request may send it to another replica
  // at once.
  boost::asio::post(m_Context, [this, IsAlive = m_IsAlive] {
    if (*IsAlive)
      failUnsentRequests();
  });
}

void ReplicaPool::failUnsentRequests() {
  std::vector<std::shared_ptr<ReplicaConnection>> Connecting;
  for (const Slot &Each : m_Open)
    if (Each.Connection->isConnecting())
      Connecting.push_back(Each.Connection);
  std::deque<Waiting> Unsent = std::exchange(m_Waiting, {});
  for (Waiting &Each : Unsent)
    Each.Request.Done(ExchangeFailure{.WasSent = false, .Why = Retired});
  for (const auto &Each : Connecting)
    if (Each->isConnecting())
      Each->failUnsent(Retired);
}

void ReplicaPool::start(const std::shared_ptr<ReplicaConnection> &On, Ticket Id,
                        Exchange Request) {
  for (Slot &Each : m_Open)
    if (Each.Connection == On)
      Each.Current = Id;
  auto Done = std::move(Request.Done);
  Request.Done = [this, Id, IsAlive = m_IsAlive,
                  Done = std::move(Done)](ExchangeResult How) {
    if (*IsAlive)
      onDone(Id);
    Done(std::move(How));
  };
  On->start(std::move(Request));
}

void ReplicaPool::onDone(Ticket Id) {
  for (Slot &Each : m_Open)
    if (Each.Current == Id)
      Each.Current = 0;
  TimePoint Now = monotonicNow();
  std::erase_if(m_Open, [Now](const Slot &Each) {
    return Each.Current == 0 && !Each.Connection->isReusable(true, Now);
  });
  startWaiting();
}

void ReplicaPool::startWaiting() {
  while (!m_Waiting.empty() && !m_IsRetired) {
    if (!m_Waiting.front().Request.MaySend())
      return recheckQueue();
    auto Free = acquire(m_Waiting.front().Request);
    if (!Free)
      return;
    Waiting Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    start(Free, Next.Id, std::move(Next.Request));
  }
}

void ReplicaPool::recheckQueue() {
  // Posted, because Done of a withdrawn request may send it to another replica
  // at once.
  boost::asio::post(m_Context, [this, IsAlive = m_IsAlive] {
    if (*IsAlive)
      withdrawUnwanted();
  });
}

void ReplicaPool::withdrawUnwanted() {
  auto FirstUnwanted = std::stable_partition(
      m_Waiting.begin(), m_Waiting.end(),
      [](const Waiting &Each) { return Each.Request.MaySend(); });
  std::vector<Waiting> Unwanted(std::make_move_iterator(FirstUnwanted),
                                std::make_move_iterator(m_Waiting.end()));
  m_Waiting.erase(FirstUnwanted, m_Waiting.end());
  // Done may destroy the pool.
  auto IsAlive = m_IsAlive;
  for (Waiting &Each : Unwanted)
    Each.Request.Done(ExchangeFailure::withdrawn());
  if (*IsAlive)
    startWaiting();
}

bool ReplicaPool::cancel(Ticket Which) {
  auto Queued =
      std::find_if(m_Waiting.begin(), m_Waiting.end(),
                   [Which](const Waiting &Each) { return Each.Id == Which; });
  if (Queued != m_Waiting.end()) {
    m_Waiting.erase(Queued);
    return false;
  }
  auto Found =
      std::find_if(m_Open.begin(), m_Open.end(),
                   [Which](const Slot &Each) { return Each.Current == Which; });
  if (Found == m_Open.end())
    return true;
  Found->Connection->cancel();
  m_Open.erase(Found);
  startWaiting();
  return true;
}

bool ReplicaPool::noteOverWork(TimePoint Now) {
  if (m_OverWorkLoggedAt && Now - *m_OverWorkLoggedAt < OverWorkLogInterval)
    return false;
  m_OverWorkLoggedAt = Now;
  return true;
}

void ReplicaPool::closeExpired(TimePoint Now) {
  for (Slot &Each : m_Open)
    if (!Each.Connection->isBusy() && !Each.Connection->isReusable(true, Now))
      Each.Connection->cancel();
  std::erase_if(m_Open, [Now](const Slot &Each) {
    return !Each.Connection->isBusy() &&
           !Each.Connection->isReusable(true, Now);
  });
}

} // namespace carawaypond::gateway
