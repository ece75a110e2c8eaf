#include "gateway/control/ConfigFollower.h"

#include "adapter/ConfigCodec.h"

namespace carawaypond::gateway {

using boost::asio::awaitable;

ConfigFollower::ConfigFollower(boost::asio::io_context &Context,
                               adapter::StoreClient &Store, FleetState &State,
                               StoreHealth &Health, StoreRole &Role,
                               const FollowOptions &Options)
    : m_Store(Store), m_State(State), m_Health(Health), m_Role(Role),
      m_Options(Options), m_Pause(Context, Options) {}

awaitable<void> ConfigFollower::run() {
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
      co_await m_Pause.wait(m_Options.ConfigPause);
    else
      co_await m_Pause.afterFailure();
  }
}

void ConfigFollower::onFailed(const Error &Why) {
  m_Cursor.onFailed();
  bool IsStoreUp = Why.Code == ErrorCode::Conflict;
  if (!IsStoreUp && m_Health.onFailed(Why, monotonicNow()))
    m_State.onStoreLost();
}

void ConfigFollower::onAnswered() {
  m_Pause.reset();
  if (m_Health.onAnswered(monotonicNow()))
    m_State.onStoreAnswered();
}

awaitable<bool> ConfigFollower::list() {
  TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
  auto Page =
      co_await m_Store.list(adapter::ConfigKind, std::string(), Deadline);
  if (!Page) {
    onFailed(Page.error());
    co_return false;
  }
  onAnswered();
  for (const adapter::StoredDocument &Each : Page.value().Documents)
    if (Each.Name == adapter::ConfigName)
      m_State.applyConfig(Each.Content, StoreSource);
  m_Cursor.onListed(Page.value().Revision);
  m_State.publish();
  co_return !m_Cursor.mustList();
}

awaitable<bool> ConfigFollower::watch() {
  TimePoint Deadline =
      monotonicNow() + m_Options.WatchWait + m_Options.AnswerTimeout;
  auto Changes = co_await m_Store.watch(
      adapter::ConfigKind, m_Cursor.revision(), m_Options.WatchWait, Deadline);
  if (!Changes) {
    onFailed(Changes.error());
    co_return false;
  }
  onAnswered();
  for (const adapter::DocumentChange &Each : Changes.value().Changes)
    if (Each.Document.Name == adapter::ConfigName && !Each.IsRemoved)
      m_State.applyConfig(Each.Document.Content, StoreSource);
  m_Cursor.onAnswer(Changes.value().Changes.size(), Changes.value().Revision);
  m_State.publish();
  co_return true;
}

} // namespace carawaypond::gateway
