#include "gateway/control/StoreFollower.h"

namespace carawaypond::gateway {

using boost::asio::awaitable;

StoreFollower::StoreFollower(boost::asio::io_context &Context,
                             adapter::StoreClient &Store, FleetState &State,
                             StoreHealth &Health, StoreRole &Role,
                             const FollowOptions &Options, Sink Into)
    : m_Store(Store), m_State(State), m_Health(Health), m_Role(Role),
      m_Options(Options), m_Sink(std::move(Into)), m_Pause(Context, Options) {}

const char *StoreFollower::kind() const {
  return std::visit([](const auto &Into) { return Into.kind(); }, m_Sink);
}

awaitable<void> StoreFollower::run() {
  for (;;) {
    if (!m_Role.readsStore()) {
      m_Cursor = WatchCursor();
      co_await m_Pause.wait(m_Options.RolePause);
      continue;
    }
    bool Succeeded = false;
    if (m_Cursor.mustList())
      Succeeded = co_await list();
    else
      Succeeded = co_await watch();
    if (Succeeded)
      co_await m_Pause.wait(m_Options.AnswerPause);
    else
      co_await m_Pause.afterFailure();
  }
}

void StoreFollower::onFailed(const Error &Why) {
  m_Cursor.onFailed();
  bool IsStoreUp = Why.Code == ErrorCode::Conflict;
  if (!IsStoreUp && m_Health.onFailed(Why, monotonicNow()))
    m_State.onStoreLost();
}

void StoreFollower::onAnswered(StoreEra Era) {
  m_Pause.reset();
  m_Health.onAnswered(monotonicNow());
  m_State.onStoreAnswered(monotonicNow(), Era);
}

void StoreFollower::confirm(TimePoint At) {
  std::visit([At](auto &Into) { Into.confirm(At); }, m_Sink);
}

void StoreFollower::prove(BootTime AsOf) {
  std::visit([AsOf](auto &Into) { Into.prove(AsOf); }, m_Sink);
}

awaitable<bool> StoreFollower::list() {
  TimePoint AskedAt = monotonicNow();
  BootTime ProvedAsOf = bootNow();
  std::visit([](auto &Into) { Into.beginList(); }, m_Sink);
  StoreRevision Revision;
  std::string After;
  bool HasMore = true;
  while (HasMore) {
    TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
    auto Page = co_await m_Store.list(kind(), After, Deadline);
    if (!Page) {
      onFailed(Page.error());
      co_return false;
    }
    StoreRevision AsOf = Page.value().Revision;
    onAnswered(AsOf.era());
    m_State.onUnnamed(kind(), Page.value().Unreadable);
    const auto &Documents = Page.value().Documents;
    for (const adapter::StoredDocument &Each : Documents)
      std::visit([&](auto &Into) { Into.listed(Each); }, m_Sink);
    // The watch starts at the first page's revision, so that changes made while
    // the later pages were read are delivered again.
    if (After.empty())
      Revision = AsOf;
    // Pages of two eras make no list.
    if (AsOf.era() != Revision.era())
      co_return false;
    HasMore = Page.value().HasMore && !Documents.empty();
    if (HasMore)
      After = Documents.back().Name;
  }
  std::visit([&](auto &Into) { Into.endList(Revision); }, m_Sink);
  m_State.publish();
  confirm(AskedAt);
  prove(ProvedAsOf);
  m_Cursor.onListed(Revision);
  co_return !m_Cursor.mustList();
}

awaitable<bool> StoreFollower::watch() {
  BootTime ProvedAsOf = bootNow();
  TimePoint Deadline =
      monotonicNow() + m_Options.WatchWait + m_Options.AnswerTimeout;
  auto Changes = co_await m_Store.watch(kind(), m_Cursor.revision(),
                                        m_Options.WatchWait, Deadline);
  if (!Changes) {
    onFailed(Changes.error());
    co_return false;
  }
  StoreRevision AsOf = Changes.value().Revision;
  onAnswered(AsOf.era());
  m_State.onUnnamed(kind(), Changes.value().Unreadable);
  for (const adapter::DocumentChange &Each : Changes.value().Changes)
    std::visit([&](auto &Into) { Into.changed(Each); }, m_Sink);
  m_Cursor.onAnswer(Changes.value().Changes.size(), AsOf);
  if (m_Cursor.mustList()) {
    m_State.publish();
    co_return co_await list();
  }
  std::visit([this](auto &Into) { Into.followed(m_Cursor.revision()); },
             m_Sink);
  m_State.publish();
  confirm(monotonicNow());
  prove(ProvedAsOf);
  co_return true;
}

} // namespace carawaypond::gateway
