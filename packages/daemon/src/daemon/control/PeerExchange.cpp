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
  m_State.Vms.onRequest(Heard, Now);
  takeCommon(Heard, Now);
  Answer(m_State.makeDigest(true, Now));
  fetchIndexes(Heard.Sender.PeerAddress, Heard);
}

void PeerExchange::takeCommon(const Digest &Heard, TimePoint Now) {
  std::vector<ServerName> Before = m_State.Drains.draining(Now);
  m_State.Drains.take(Heard.Drains, Now);
  if (m_State.Drains.draining(Now) != Before)
    m_State.OnChange();
  m_State.takeVersions(Heard.Versions, Now);
}

void PeerExchange::onReply(const std::string &Address, const Digest &Heard,
                           TimePoint SentAt) {
  TimePoint Now = monotonicNow();
  m_State.Vms.onReply(Heard, SentAt, Now);
  takeCommon(Heard, Now);
  m_State.Gate.onHeard(m_State.Vms.directAsOf(Now));
  bool Covers = m_State.Configs.covers(Heard);
  m_State.Fresh.onReply(Heard, Covers, SentAt, Now);
  m_State.OnChange();
  if (!Covers)
    fetchServices(Address, Heard, SentAt);
  fetchIndexes(Address, Heard);
}

void PeerExchange::fetchServices(const std::string &Address,
                                 const Digest &Heard, TimePoint SentAt) {
  std::vector<std::string> Names;
  if (!m_State.Configs.needsWholeList(Heard))
    for (const ServiceName &Name : m_State.Configs.lacking(Heard))
      Names.push_back(Name.value());
  if (Names.empty() && !m_State.Configs.needsWholeList(Heard))
    return;
  using Objects = std::vector<peer::StoredObject>;
  auto OnReply = [this, Heard, SentAt](Result<Objects> Got) {
    if (!Got)
      return;
    asio::post(m_Io, [this, Heard, SentAt, Found = std::move(Got.value())] {
      takeServices(Found);
      m_State.Fresh.onReply(Heard, m_State.Configs.covers(Heard), SentAt,
                            monotonicNow());
      m_State.OnChange();
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
               [this, Found = std::move(Got.value())] { takeIndexes(Found); });
  };
  m_Node->fetchIndexes(Address, std::move(Names), OnReply, FetchTimeout);
}

void PeerExchange::takeServices(
    const std::vector<peer::StoredObject> &Objects) {
  for (const peer::StoredObject &Object : Objects) {
    nlohmann::json Value = nlohmann::json::parse(Object.Json, nullptr, false);
    Result<StoredService> Stored = parseStoredService(Value);
    if (Stored)
      m_State.takeConfig(std::move(Stored.value()));
    else
      LOG4CXX_WARN(logger(), "a VM sent an unusable service name="
                                 << Object.Name << " cause=\""
                                 << Stored.error().Message << "\"");
  }
}

void PeerExchange::takeIndexes(const std::vector<peer::StoredObject> &Objects) {
  for (const peer::StoredObject &Object : Objects) {
    nlohmann::json Value = nlohmann::json::parse(Object.Json, nullptr, false);
    Result<IndexObject> Index = parseIndexObject(Value, Object.Version);
    if (Index)
      m_State.takeIndex(std::move(Index.value()), monotonicNow());
    else
      LOG4CXX_WARN(logger(), "a VM sent an unusable index name="
                                 << Object.Name << " cause=\""
                                 << Index.error().Message << "\"");
  }
}

std::vector<peer::StoredObject>
PeerExchange::services(const std::vector<std::string> &Names) const {
  std::vector<peer::StoredObject> Found;
  for (const std::string &Name : Names)
    if (ConfigBook::Entry Held = m_State.Configs.find(ServiceName(Name)))
      Found.push_back(pack(*Held));
  if (!Names.empty())
    return Found;
  for (const ConfigHeld &Held : m_State.Configs.versions())
    Found.push_back(pack(*m_State.Configs.find(Held.Service)));
  return Found;
}

std::vector<peer::StoredObject>
PeerExchange::indexes(const std::vector<std::string> &Names) const {
  std::vector<peer::StoredObject> Found;
  for (const std::string &Name : Names)
    if (IndexBook::Entry Held = m_State.Indexes.find(Name))
      Found.push_back(pack(*Held));
  if (!Names.empty())
    return Found;
  for (const auto &[Name, Held] : m_State.Indexes.all())
    Found.push_back(pack(*Held));
  return Found;
}

} // namespace carawaypond::daemon
