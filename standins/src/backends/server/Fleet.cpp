#include "backends/server/Fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace carawaypond::standins {

namespace asio = boost::asio;

Fleet::Fleet(asio::io_context &Io, const Deployment &Plan, Options Given)
    : m_Io(Io), m_Publisher(std::move(Given.Platform)) {
  std::mt19937_64 Seeds(Given.Seed);
  for (const ServicePlan &Planned : planServices(Plan)) {
    auto Of = std::make_unique<Service>(Planned, Plan.Versions);
    for (const ServerInfo &Info : Planned.Index.Servers) {
      m_Servers.push_back(std::make_unique<BackendServer>(
          m_Io, Of->Runtime, Info, m_Log, Seeds()));
      Of->Servers.push_back(m_Servers.back().get());
    }
    m_Services.emplace(Planned.Index.Name, std::move(Of));
  }
}

std::vector<ServiceRuntime *> Fleet::services() const {
  std::vector<ServiceRuntime *> All;
  for (const auto &[Name, Of] : m_Services)
    All.push_back(&Of->Runtime);
  return All;
}

Result<void> Fleet::open() {
  for (const std::unique_ptr<BackendServer> &Server : m_Servers) {
    Result<void> Started = Server->start();
    if (!Started)
      return Started;
    Server->service().Timeline.setServerAddress(Server->name(),
                                                Server->address());
  }
  return success();
}

asio::awaitable<void> Fleet::publishAll() {
  for (const auto &[Name, Of] : m_Services)
    co_await m_Publisher.publish(Of->Runtime.Timeline);
  for (const auto &[Name, Of] : m_Services)
    asio::co_spawn(m_Io, advanceLoop(*Of), asio::detached);
}

void Fleet::publish(ServiceRuntime &Service) {
  asio::co_spawn(m_Io, m_Publisher.publish(Service.Timeline), asio::detached);
}

std::uint64_t Fleet::advance(ServiceRuntime &Service, std::uint64_t Count) {
  std::uint64_t Made = 0;
  while (Made < Count && Service.Timeline.advance()) {
    ++Made;
    for (BackendServer *Server : find(Service).Servers)
      Server->catchUpWithIndex();
  }
  return Made;
}

void Fleet::setMaxLag(ServiceRuntime &Service, std::uint64_t MaxLag) {
  Service.Timeline.setMaxLag(MaxLag);
  for (BackendServer *Server : find(Service).Servers)
    Server->catchUpWithIndex();
}

void Fleet::setInterval(ServiceRuntime &Service, Milliseconds Interval) {
  Service.Timeline.setInterval(Interval);
  find(Service).IntervalChanged.notify();
}

void Fleet::announceLeaving(BackendServer &Server, bool Leaving) {
  asio::co_spawn(m_Io, announce(Server, Leaving), asio::detached);
}

asio::awaitable<void> Fleet::announce(BackendServer &Server, bool Leaving) {
  IndexTimeline &Timeline = Server.service().Timeline;
  Timeline.setServerLeaving(Server.name(), Leaving);
  co_await m_Publisher.publish(Timeline);
  if (Leaving)
    Server.markLeaving();
}

asio::awaitable<void> Fleet::advanceLoop(Service &Of) {
  Signal::Timer Timer(m_Io);
  TimePoint Last = monotonicNow();
  while (true) {
    Milliseconds Interval = Of.Runtime.Timeline.options().Every;
    bool Never = Interval == Milliseconds::zero();
    TimePoint Due = Never ? TimePoint::max() : Last + Interval;
    co_await Of.IntervalChanged.wait(Timer, Due);
    if (Never || monotonicNow() < Due) {
      Last = monotonicNow();
      continue;
    }
    Last = Due;
    advance(Of.Runtime, 1);
  }
}

Fleet::Service &Fleet::find(const ServiceRuntime &Runtime) {
  return *m_Services.at(Runtime.name());
}

} // namespace carawaypond::standins
