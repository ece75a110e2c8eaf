#include "daemon/control/PeerExchange.h"

#include "daemon/log/Log.h"
#include "peer/node/PeerNode.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds ExchangeTimeout{1000};
constexpr Milliseconds FetchTimeout{2000};

peer::StoredObject pack(const StoredService &Stored) {
  return {.Name = Stored.Content.Name.value(),
          .Version = Stored.Version.value(),
          .Json = toJson(Stored).dump()};
}

peer::StoredObject pack(const IndexObject &Index) {
  return {.Name = Index.Name,
          .Version = Index.ObjectVersion,
          .Json = toJson(Index).dump()};
}

} // namespace

void PeerExchange::exchange(const std::string &Address, bool Full) {
  TimePoint SentAt = monotonicNow();
  auto OnReply = [this, Address, SentAt](Result<Digest> Heard) {
    if (!Heard)
      return;
    asio::post(m_Io, [this, Address, SentAt, Got = std::move(Heard.value())] {
      onReply(Address, Got, SentAt);
    });
  };
  m_Node->exchange(Address, m_State.makeDigest(Full, SentAt), OnReply,
                   ExchangeTimeout);
}

void PeerExchange::serve(const Digest &Heard,
                         const peer::Reply<Digest> &Answer) {
  TimePoint Now = monotonicNow();
  const std::string &Address = Heard.Sender.PeerAddress;
  std::optional<ConfigFetch> Wanted = m_State.Core.onRequest(Heard, Now);
  Answer(m_State.makeDigest(true, Now));
  mergeVersionsAndNotify(Heard, Now);
  if (Wanted)
    fetchServices(Address, std::move(*Wanted));
  fetchIndexes(Address, Heard);
}

void PeerExchange::onReply(const std::string &Address, const Digest &Heard,
                           TimePoint SentAt) {
  TimePoint Now = monotonicNow();
  std::optional<ConfigFetch> Wanted = m_State.Core.onReply(Heard, SentAt, Now);
  mergeVersionsAndNotify(Heard, Now);
  if (Wanted)
    fetchServices(Address, std::move(*Wanted));
  fetchIndexes(Address, Heard);
}

void PeerExchange::mergeVersionsAndNotify(const Digest &Heard, TimePoint Now) {
  m_State.mergeVersions(Heard.Versions, Now);
  m_State.OnChange();
}

void PeerExchange::fetchServices(const std::string &Address,
                                 ConfigFetch Wanted) {
  const ConfigRegistry &Held = m_State.Core.configs();
  std::vector<std::string> Names;
  if (!Held.needsWholeList(Wanted.Heard))
    for (const ServiceName &Name : Held.lacking(Wanted.Heard))
      Names.push_back(Name.value());
  using Objects = std::vector<peer::StoredObject>;
  auto OnReply = [this, Wanted = std::move(Wanted)](Result<Objects> Got) {
    if (!Got)
      return;
    asio::post(m_Io, [this, Wanted, Found = std::move(Got.value())] {
      mergeServices(Wanted, Found);
    });
  };
  m_Node->fetchServices(Address, std::move(Names), OnReply, FetchTimeout);
}

void PeerExchange::fetchIndexes(const std::string &Address,
                                const Digest &Heard) {
  std::vector<std::string> Names = m_State.Indexes.lacking(Heard);
  if (Names.empty())
    return;
  using Objects = std::vector<peer::StoredObject>;
  auto OnReply = [this](Result<Objects> Got) {
    if (!Got)
      return;
    asio::post(m_Io,
               [this, Found = std::move(Got.value())] { mergeIndexes(Found); });
  };
  m_Node->fetchIndexes(Address, std::move(Names), OnReply, FetchTimeout);
}

void PeerExchange::mergeServices(
    const ConfigFetch &Asked, const std::vector<peer::StoredObject> &Objects) {
  std::vector<StoredService> Newer;
  for (const peer::StoredObject &Object : Objects) {
    nlohmann::json Value = nlohmann::json::parse(Object.Json, nullptr, false);
    Result<StoredService> Stored = parseStoredService(Value);
    if (Stored)
      Newer.push_back(std::move(Stored.value()));
    else
      LOG4CXX_WARN(logger(), "ignored an invalid service from another VM name="
                                 << Object.Name << " cause=\""
                                 << Stored.error().Message << "\"");
  }
  // The reply does not name the incarnation that sent it, so it counts only if
  // it covers the versions in the digest that triggered the fetch.
  m_State.Core.onFetched(Asked, Incarnation(), std::move(Newer),
                         monotonicNow());
  m_State.OnChange();
}

void PeerExchange::mergeIndexes(
    const std::vector<peer::StoredObject> &Objects) {
  for (const peer::StoredObject &Object : Objects) {
    nlohmann::json Value = nlohmann::json::parse(Object.Json, nullptr, false);
    Result<IndexObject> Index = parseIndexObject(Value, Object.Version);
    if (Index)
      m_State.mergeIndex(std::move(Index.value()), monotonicNow());
    else
      LOG4CXX_WARN(logger(), "ignored an invalid index from another VM name="
                                 << Object.Name << " cause=\""
                                 << Index.error().Message << "\"");
  }
}

std::vector<peer::StoredObject>
PeerExchange::services(const std::vector<std::string> &Names) const {
  std::vector<peer::StoredObject> Found;
  for (const std::string &Name : Names)
    if (ConfigRegistry::Entry Held =
            m_State.Core.configs().find(ServiceName(Name)))
      Found.push_back(pack(*Held));
  if (!Names.empty())
    return Found;
  for (const HeldConfigVersion &Held : m_State.Core.configs().versions())
    Found.push_back(pack(*m_State.Core.configs().find(Held.Service)));
  return Found;
}

std::vector<peer::StoredObject>
PeerExchange::indexes(const std::vector<std::string> &Names) const {
  std::vector<peer::StoredObject> Found;
  for (const std::string &Name : Names)
    if (IndexRegistry::Entry Held = m_State.Indexes.find(Name))
      Found.push_back(pack(*Held));
  if (!Names.empty())
    return Found;
  for (const auto &[Name, Held] : m_State.Indexes.all())
    Found.push_back(pack(*Held));
  return Found;
}

} // namespace carawaypond::daemon
