#include "Driver.h"
#include "FramedSocket.h"
#include "IoThread.h"
#include "Transports.h"
#include "peer/codec/ResultCodec.h"
#include "peer/codec/SubrequestCodec.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace carawaypond::bench {

namespace {

using namespace carawaypond::peer;
using boost::asio::ip::tcp;

std::pair<tcp::socket, tcp::socket> connectedPair(IoThread &First,
                                                  IoThread &Second) {
  tcp::acceptor Acceptor(First.io(),
                         {boost::asio::ip::address_v4::loopback(), 0});
  tcp::socket Client(Second.io());
  Client.connect(Acceptor.local_endpoint());
  tcp::socket Server = Acceptor.accept();
  return {std::move(Server), std::move(Client)};
}

void answerBatch(const Workload &Load, capnp::MessageReader &Message,
                 FramedSocket &Out) {
  auto Batch = readBatch(Message.getRoot<wire::Batch>()).value();
  capnp::MallocMessageBuilder Answer;
  auto Results = Answer.initRoot<wire::TrafficMessage>().initResults(
      static_cast<capnp::uint>(Batch.size()));
  capnp::uint Next = 0;
  for (const PeerSubrequest &Subrequest : Batch)
    writeResult(Load.answer(Subrequest), Results[Next++]);
  Out.send(Answer);
}

} // namespace

std::string measureFramedSocket(const Workload &Load) {
  std::unique_ptr<FramedSocket> Owner;
  std::unique_ptr<FramedSocket> Coordinator;
  std::unique_ptr<Driver> Drive;
  IoThread OwnerTraffic;
  IoThread Traffic;
  auto [ServerEnd, ClientEnd] = connectedPair(OwnerTraffic, Traffic);
  Owner = std::make_unique<FramedSocket>(std::move(ServerEnd),
                                         [&](capnp::MessageReader &Message) {
                                           answerBatch(Load, Message, *Owner);
                                         });
  Coordinator = std::make_unique<FramedSocket>(
      std::move(ClientEnd), [&](capnp::MessageReader &Message) {
        for (auto Result : Message.getRoot<wire::TrafficMessage>().getResults())
          Drive->onResult(readResult(Result));
      });
  Drive = std::make_unique<Driver>(Load, [&](const auto &Batch) {
    capnp::MallocMessageBuilder Message;
    writeBatch(Batch, Message.initRoot<wire::Batch>());
    Coordinator->send(Message);
  });
  auto Done = Drive->done();
  boost::asio::post(OwnerTraffic.io(), [&] { Owner->startReading(); });
  boost::asio::post(Traffic.io(), [&] {
    Coordinator->startReading();
    Drive->start();
  });
  Done.wait();
  return Drive->report().line("framed", Load.BatchSize);
}

} // namespace carawaypond::bench
