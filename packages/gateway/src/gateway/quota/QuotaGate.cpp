#include "gateway/quota/QuotaGate.h"

#include "gateway/quota/QuotaCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

/// Of a call; a later answer is of no use to a caller that waits.
constexpr Milliseconds CallTimeout{250};
constexpr unsigned Ok = 200;

} // namespace

QuotaGate::QuotaGate(boost::asio::io_context &Context, QuotaHolder Holder,
                     OnReport Report)
    : m_Context(Context), m_Holder(std::move(Holder)),
      m_Report(std::move(Report)) {}

void QuotaGate::setAllocator(std::optional<AllocatorRecord> Allocator) {
  if (Allocator == m_Allocator)
    return;
  bool HasMoved =
      !Allocator || !m_Allocator || Allocator->Address != m_Allocator->Address;
  if (HasMoved)
    m_Connection.reset();
  m_Allocator = std::move(Allocator);
  callIfDue();
}

void QuotaGate::retain(const WorkspaceTable &Configured) {
  m_Holder.retain(Configured);
  m_Signal.notify();
}

void QuotaGate::returnToken(const QuotaToken &Token) {
  m_Holder.returnToken(Token, bootNow());
}

awaitable<QuotaAdmission> QuotaGate::admit(WorkspaceName Of,
                                           TimePoint Deadline) {
  QuotaDecision Decision = m_Holder.spend(Of, true, bootNow());
  if (Decision == QuotaDecision::Waiting) {
    m_Holder.beginWait(Of);
    while (Decision == QuotaDecision::Waiting && monotonicNow() < Deadline) {
      callIfDue();
      co_await m_Signal.wait(m_Context, Deadline);
      Decision = m_Holder.spend(Of, false, bootNow());
    }
    m_Holder.endWait(Of);
  }
  QuotaAdmission Admission;
  if (Decision == QuotaDecision::Granted)
    Admission.Token = m_Holder.spentToken();
  else
    Admission.Result = Decision == QuotaDecision::Refused
                           ? QuotaResult::OverQuota
                           : QuotaResult::Unavailable;
  callIfDue();
  co_return Admission;
}

void QuotaGate::callIfDue() {
  auto Call = m_Holder.nextCall(bootNow());
  if (!Call)
    return;
  if (!m_Allocator) {
    m_Holder.onCallFailed();
    return m_Report({});
  }
  boost::asio::co_spawn(m_Context,
                        callAllocator(std::move(*Call), *m_Allocator),
                        boost::asio::detached);
}

awaitable<void> QuotaGate::callAllocator(QuotaCall Call,
                                         AllocatorRecord Called) {
  auto Answer = co_await sendCall(Call, Called.Address);
  finishCall(Answer, Called);
}

awaitable<std::optional<QuotaAnswer>>
QuotaGate::sendCall(const QuotaCall &Call, const std::string &Address) {
  TimePoint Deadline = monotonicNow() + CallTimeout;
  // setAllocator() may replace the connection meanwhile.
  auto Connection = std::move(m_Connection);
  if (!Connection || !Connection->isOpen() ||
      Connection->address() != Address) {
    Connection =
        std::make_unique<http::Connection>(m_Context.get_executor(), Address);
    auto Connected = co_await Connection->connect(Deadline);
    if (!Connected)
      co_return std::nullopt;
  }
  http::Request Asked;
  Asked.Method = "POST";
  Asked.Path = QuotaPath;
  Asked.Body = encodeQuotaCall(Call);
  auto Answer = co_await Connection->roundTrip(std::move(Asked), Deadline);
  if (!Answer || Answer.value().Status != Ok)
    co_return std::nullopt;
  m_Connection = std::move(Connection);
  co_return decodeQuotaAnswer(Answer.value().Body);
}

void QuotaGate::finishCall(const std::optional<QuotaAnswer> &Answer,
                           const AllocatorRecord &Called) {
  AllocatorReport Report;
  Report.Term = Called.Term;
  if (Answer && Answer->IsAllocator) {
    Report.WasReached = true;
    m_Holder.onAnswer(*Answer, bootNow());
  } else {
    m_Holder.onCallFailed();
  }
  if (Answer) {
    Report.WasReached = Report.WasReached || Answer->IsHolder;
    Report.HasEnded = Answer->Vm == Called.Vm &&
                      Answer->IncarnationNumber != Called.IncarnationNumber;
    Report.Named = Answer->Known;
  }
  m_Report(Report);
  // Waiting requests ask again, unless the allocator can't be reached: then the
  // next sweep calls it, or another one.
  if (Answer && Answer->IsAllocator)
    m_Signal.notify();
}

} // namespace carawaypond::gateway
