#include "daemon/control/RolloutChecker.h"

#include "peer/node/PeerNode.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds AskTimeout{1000};

/// @brief A check that is waiting for replies from other VMs.
struct Asked {
  RolloutStatus Check;
  std::size_t Outstanding = 0;
  asio::steady_timer Done;
};

} // namespace

asio::awaitable<RolloutStatus> RolloutChecker::ask(ServiceName Service,
                                                   ConfigVersion Version) {
  VmName Self = m_State.Core.members().self().Name;
  std::vector<VmName> Live = m_State.Core.members().liveVms();
  auto Question = std::make_shared<Asked>(
      Asked{.Check = RolloutStatus(Service, Version, Live),
            .Done = asio::steady_timer(m_Io, TimePoint::max())});
  Question->Check.onOwn(Self, m_State.Core.configs());
  for (const VmName &Name : Live) {
    std::optional<VmRecord> Vm = m_State.Core.members().find(Name);
    if (Name == Self || !Vm)
      continue;
    ++Question->Outstanding;
    auto OnReply = [this, Question](Result<Digest> Heard) {
      asio::post(m_Io, [this, Question, Got = std::move(Heard)] {
        if (Got)
          Question->Check.onDigest(Got.value(), m_State.Core.configs());
        if (--Question->Outstanding == 0)
          Question->Done.cancel();
      });
    };
    m_Node->exchange(Vm->PeerAddress, m_State.makeDigest(true, monotonicNow()),
                     OnReply, AskTimeout);
  }
  boost::system::error_code Cancelled;
  while (Question->Outstanding > 0)
    co_await Question->Done.async_wait(
        asio::redirect_error(asio::use_awaitable, Cancelled));
  co_return std::move(Question->Check);
}

} // namespace carawaypond::daemon
