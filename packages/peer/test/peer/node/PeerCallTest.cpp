#include "NodeFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <random>

using namespace carawaypond;
using namespace carawaypond::peer;
using boost::asio::ip::tcp;

namespace {

tcp::endpoint endpointOf(const std::string &Address) {
  auto Colon = Address.rfind(':');
  return {boost::asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1)))};
}

std::string randomBytes(std::mt19937 &Random, std::size_t Count) {
  std::string Bytes(Count, '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random());
  return Bytes;
}

/// Sends bytes and waits until the node closes the connection.
void sendUntilClosed(const std::string &Address, const std::string &Bytes) {
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect(endpointOf(Address));
  boost::system::error_code Ignored;
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  std::string Sink(4096, '\0');
  boost::system::error_code Code;
  while (!Code)
    Socket.read_some(boost::asio::buffer(Sink), Code);
}

template <typename T> auto into(Mailbox<Result<T>> &Box) {
  return [&Box](Result<T> Outcome) { Box.put(std::move(Outcome)); };
}

/// Server that lets clients connect but never accepts or answers them.
class UnresponsiveServer {
public:
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }

private:
  boost::asio::io_context m_Io;
  tcp::acceptor m_Acceptor{
      m_Io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

} // namespace

TEST_CASE("digests are exchanged with the sender's name") {
  Mailbox<Result<Digest>> Replies;
  TestNode Server("vm-2");
  TestNode Client("vm-1");
  Client.Node->exchange(Server.address(), digestWithFingerprint(7),
                        into(Replies), GenerousTimeout);
  Digest Answer = Replies.take().value();
  CHECK(Answer.Sender.Name == VmName("vm-1"));
  CHECK(Answer.ConfigFingerprint == 7);
}

TEST_CASE("objects are fetched by name") {
  Mailbox<Result<std::vector<StoredObject>>> Replies;
  TestNode Server("vm-2");
  TestNode Client("vm-1");
  Client.Node->fetchServices(Server.address(), {"a", "b"}, into(Replies),
                             GenerousTimeout);
  auto Objects = Replies.take().value();
  REQUIRE(Objects.size() == 2);
  CHECK(Objects[1] == StoredObject{.Name = "b", .Version = 7, .Json = "{}"});
}

TEST_CASE("a call without a handler fails") {
  Mailbox<Result<std::vector<StoredObject>>> Replies;
  TestNode Server("vm-2");
  TestNode Client("vm-1");
  Client.Node->fetchIndexes(Server.address(), {"a"}, into(Replies),
                            GenerousTimeout);
  CHECK(!Replies.take());
}

TEST_CASE("a forwarded query is answered from another thread") {
  Mailbox<Result<PeerQueryAnswer>> Replies;
  TestNode Server("vm-2", 4);
  TestNode Client("vm-1");
  PeerQuery Query{.Ticket = "vm-2.4.1", .Deadline = wallNow(), .Body = "{}"};
  Client.Node->query(Server.address(), Incarnation(4), Query, into(Replies),
                     GenerousTimeout);
  auto [Taken, OnReply] = Server.Queries.take();
  CHECK(Taken.Ticket == "vm-2.4.1");
  OnReply(PeerQueryAnswer{.Status = 200, .Body = "done"});
  PeerQueryAnswer Answer = Replies.take().value();
  CHECK(Answer.Status == 200);
  CHECK(Answer.Body == "done");
}

TEST_CASE("an unanswered query ends in TimedOut or ConnectionLost") {
  Mailbox<Result<PeerQueryAnswer>> Replies;
  auto Server = std::make_unique<TestNode>("vm-2");
  TestNode Client("vm-1");
  Client.Node->query(Server->address(), Incarnation(1), {}, into(Replies),
                     ShortTimeout);
  auto Unanswered = Server->Queries.take();
  CHECK(Replies.take().error().Code == ErrorCode::TimedOut);

  Client.Node->query(Server->address(), Incarnation(1), {}, into(Replies),
                     GenerousTimeout);
  auto Held = Server->Queries.take();
  Server.reset();
  CHECK(Replies.take().error().Code == ErrorCode::ConnectionLost);
}

TEST_CASE("a query for a former incarnation is not sent") {
  Mailbox<Result<PeerQueryAnswer>> Replies;
  TestNode Server("vm-2", 4);
  TestNode Client("vm-1");
  Client.Node->query(Server.address(), Incarnation(3), {}, into(Replies),
                     GenerousTimeout);
  CHECK(Replies.take().error().Code == ErrorCode::NotConnected);
}

TEST_CASE("a call fails if its reply is destroyed without being called") {
  Mailbox<Result<PeerQueryAnswer>> Replies;
  TestNode Server("vm-2");
  TestNode Client("vm-1");
  Client.Node->query(Server.address(), Incarnation(1), {}, into(Replies),
                     GenerousTimeout);
  Server.Queries.take();
  CHECK(!Replies.take());
}

TEST_CASE(
    "an unresponsive peer fails with NotConnected and delays no other peer") {
  Mailbox<Result<Digest>> FromSilent;
  Mailbox<Result<Digest>> Replies;
  UnresponsiveServer Unresponsive;
  PeerOptions Options;
  Options.ConnectTimeout = ShortTimeout;
  TestNode Client("vm-1", 1, Options);
  TestNode Server("vm-2");
  Client.Node->exchange(Unresponsive.address(), digestWithFingerprint(1),
                        into(FromSilent), GenerousTimeout);
  Client.Node->exchange(Server.address(), digestWithFingerprint(2),
                        into(Replies), GenerousTimeout);
  CHECK(Replies.take().value().ConfigFingerprint == 2);
  CHECK(FromSilent.take().error().Code == ErrorCode::NotConnected);
}

TEST_CASE("a link reconnects after its backoff") {
  Mailbox<Result<Digest>> Replies;
  PeerOptions Options;
  Options.ListenAddress = TestNode("vm-2").address();
  TestNode Client("vm-1");
  Client.Node->exchange(Options.ListenAddress, digestWithFingerprint(1),
                        into(Replies), GenerousTimeout);
  CHECK(Replies.take().error().Code == ErrorCode::NotConnected);

  TestNode Server("vm-2", 2, Options);
  CHECK(eventually([&] {
    Client.Node->exchange(Options.ListenAddress, digestWithFingerprint(2),
                          into(Replies), GenerousTimeout);
    return Replies.take().has_value();
  }));
}

TEST_CASE("malformed input closes only its own connection") {
  Mailbox<Result<Digest>> Replies;
  PeerOptions Options;
  Options.HelloTimeout = ShortTimeout;
  TestNode Server("vm-2", 1, Options);
  TestNode Client("vm-1");
  constexpr std::uint64_t Tries = 12;
  std::mt19937 Random(1);
  const std::string Starts[] = {"", "cwp-rpc1", "cwp-trf1"};
  for (std::uint64_t Try = 0; Try < Tries; ++Try)
    sendUntilClosed(Server.address(), Starts[Try % std::size(Starts)] +
                                          randomBytes(Random, 1 + 97 * Try));
  CHECK(eventually(
      [&] { return Server.Node->stats().InboundRejected == Tries; }));
  Client.Node->exchange(Server.address(), digestWithFingerprint(1),
                        into(Replies), GenerousTimeout);
  CHECK(Replies.take().has_value());
}

TEST_CASE("only numeric addresses are accepted") {
  Mailbox<Result<Digest>> Replies;
  PeerOptions Options;
  Options.ListenAddress = "localhost:0";
  auto Node = PeerNode::open(Options, {});
  REQUIRE(!Node);
  CHECK(Node.error().Code == ErrorCode::InvalidInput);

  TestNode Client("vm-1");
  Client.Node->exchange("localhost:1", digestWithFingerprint(1), into(Replies),
                        GenerousTimeout);
  CHECK(Replies.take().error().Code == ErrorCode::InvalidInput);
}

TEST_CASE("an address in use is reported") {
  TestNode Server("vm-2");
  PeerOptions Options;
  Options.ListenAddress = Server.address();
  CHECK(!PeerNode::open(Options, {}));
}
