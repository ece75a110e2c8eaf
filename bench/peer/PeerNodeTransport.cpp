#include "Driver.h"
#include "IoThread.h"
#include "Transports.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace carawaypond::bench {

namespace {

using namespace carawaypond::peer;

std::unique_ptr<PeerNode> openNode(const std::string &Name,
                                   PeerHandlers Handlers) {
  PeerOptions Options;
  Options.Self = {.Vm = VmName(Name), .IncarnationNumber = Incarnation(1)};
  Options.ListenAddress = "127.0.0.1:0";
  return std::move(
      PeerNode::open(std::move(Options), std::move(Handlers)).value());
}

PeerHandlers answeringHandlers(IoThread &Traffic, const Workload &Load) {
  PeerHandlers Handlers;
  Handlers.OnRun = [&](const PeerIdentity &, std::vector<PeerSubrequest> Batch,
                       ResultSink Sink) {
    boost::asio::post(Traffic.io(), [&Load, Batch = std::move(Batch),
                                     Sink = std::move(Sink)] {
      for (const PeerSubrequest &Subrequest : Batch)
        Sink(Load.answer(Subrequest));
    });
  };
  return Handlers;
}

} // namespace

std::string measurePeerNode(const Workload &Load) {
  std::unique_ptr<Driver> Drive;
  IoThread OwnerTraffic;
  IoThread Traffic;
  auto Owner = openNode("vm-2", answeringHandlers(OwnerTraffic, Load));
  auto Coordinator = openNode("vm-1", {});

  RunObserver Observer;
  Observer.OnResult = [&](PeerResult Result) {
    boost::asio::post(Traffic.io(), [&Drive, Result = std::move(Result)] {
      Drive->onResult(Result);
    });
  };
  Observer.OnLost = [](const Error &, const std::vector<SubrequestId> &) {
    std::abort();
  };
  Drive = std::make_unique<Driver>(Load, [&](auto Batch) {
    Coordinator->run(Owner->address(), Incarnation(1), std::move(Batch),
                     Observer);
  });
  auto Done = Drive->done();
  boost::asio::post(Traffic.io(), [&Drive] { Drive->start(); });
  Done.wait();
  return Drive->report().line("node", Load.BatchSize);
}

} // namespace carawaypond::bench
