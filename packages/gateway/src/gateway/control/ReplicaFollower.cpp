#include "gateway/control/ReplicaFollower.h"

#include "adapter/ReplicaCodec.h"

namespace carawaypond::gateway {

using boost::asio::awaitable;

ReplicaFollower::ReplicaFollower(boost::asio::io_context &Context,
                                 adapter::StoreClient &Store, FleetState &State,
                                 StoreHealth &Health, StoreRole &Role,
                                 EventLog &Log, const FollowOptions &Options)
    : m_Store(Store), m_State(State), m_Health(Health), m_Role(Role),
      m_Log(Log), m_Options(Options), m_Pause(Context, Options) {}

awaitable<void> ReplicaFollower::run() {
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
      co_await m_Pause.wait(m_Options.ReplicaPause);
    else
      co_await m_Pause.afterFailure();
  }
}

void ReplicaFollower::onFailed(const Error &Why) {
  m_Cursor.onFailed();
  bool IsStoreUp = Why.Code == ErrorCode::Conflict;
  if (!IsStoreUp && m_Health.onFailed(Why, monotonicNow()))
    m_State.onStoreLost();
}

void ReplicaFollower::onAnswered() {
  m_Pause.reset();
  if (m_Health.onAnswered(monotonicNow()))
    m_State.onStoreAnswered();
}

void ReplicaFollower::logUnreadable(const std::string &Name) {
  LogLine Line("replica_unreadable");
  Line.add("replica", Name);
  m_Log.write(Line);
}

awaitable<bool> ReplicaFollower::list() {
  std::vector<ReplicaRecord> Listed;
  std::uint64_t Revision = 0;
  std::string After;
  bool HasMore = true;
  while (HasMore) {
    TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
    auto Page = co_await m_Store.list(adapter::ReplicaKind, After, Deadline);
    if (!Page) {
      onFailed(Page.error());
      co_return false;
    }
    onAnswered();
    const auto &Documents = Page.value().Documents;
    for (const adapter::StoredDocument &Each : Documents) {
      if (auto Read = adapter::decodeReplica(Each.Name, Each.Content))
        Listed.push_back(std::move(*Read));
      else
        logUnreadable(Each.Name);
    }
    if (Revision == 0)
      Revision = Page.value().Revision;
    HasMore = Page.value().HasMore && !Documents.empty();
    if (HasMore)
      After = Documents.back().Name;
  }
  m_State.replaceReplicas(std::move(Listed), Revision, StoreSource);
  m_State.publish();
  m_Cursor.onListed(Revision);
  co_return true;
}

awaitable<bool> ReplicaFollower::watch() {
  TimePoint Deadline =
      monotonicNow() + m_Options.WatchWait + m_Options.AnswerTimeout;
  auto Changes = co_await m_Store.watch(
      adapter::ReplicaKind, m_Cursor.revision(), m_Options.WatchWait, Deadline);
  if (!Changes) {
    onFailed(Changes.error());
    co_return false;
  }
  onAnswered();
  for (const adapter::DocumentChange &Each : Changes.value().Changes)
    apply(Each);
  m_Cursor.onAnswer(Changes.value().Changes.size(), Changes.value().Revision);
  m_State.setReplicaRevision(
      std::max(m_State.replicaRevision(), m_Cursor.revision()));
  m_State.publish();
  co_return true;
}

void ReplicaFollower::apply(const adapter::DocumentChange &Change) {
  const std::string &Name = Change.Document.Name;
  if (Change.IsRemoved)
    return m_State.removeReplica(ServerName(Name));
  auto Read = adapter::decodeReplica(Name, Change.Document.Content);
  if (Read)
    return m_State.putReplica(std::move(*Read));
  logUnreadable(Name);
  m_State.removeReplica(ServerName(Name));
}

} // namespace carawaypond::gateway
