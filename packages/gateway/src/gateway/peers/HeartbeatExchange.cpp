#include "gateway/peers/HeartbeatExchange.h"

#include "coordination/fleet/HeartbeatTargets.h"
#include "http/Endpoint.h"

#include <boost/asio/buffer.hpp>

namespace carawaypond::gateway {

using boost::asio::ip::udp;
using boost::system::error_code;

HeartbeatExchange::HeartbeatExchange(boost::asio::io_context &Context,
                                     HeartbeatOptions Options,
                                     FleetState &State, Own Describe,
                                     OnHeartbeat Heard)
    : m_Socket(Context), m_Timer(Context), m_Options(std::move(Options)),
      m_State(State), m_Describe(std::move(Describe)),
      m_Heard(std::move(Heard)) {}

Result<void> HeartbeatExchange::start() {
  error_code Failed;
  auto Ip = boost::asio::ip::make_address(m_Options.Ip, Failed);
  if (!Failed)
    m_Socket.open(udp::v4(), Failed);
  if (!Failed)
    m_Socket.bind(udp::endpoint(Ip, m_Options.Port), Failed);
  if (!Failed)
    m_Socket.non_blocking(true, Failed);
  if (Failed)
    return failure(ErrorCode::Unavailable, "cannot receive heartbeats on " +
                                               m_Options.Ip + ": " +
                                               Failed.message());
  receive();
  schedule();
  return success();
}

void HeartbeatExchange::schedule() {
  m_Timer.expires_after(m_Options.Interval);
  m_Timer.async_wait([this](error_code Stopped) {
    if (Stopped)
      return;
    sendToTargets();
    schedule();
  });
}

void HeartbeatExchange::sendToTargets() {
  DataCentre Own = m_Describe().Vm.Record.Centre;
  for (const VmRecord &Each : heartbeatTargets(
           Own, m_State.vms().known(), m_State.vms().heard(monotonicNow())))
    sendTo(Each.PeerAddress);
}

void HeartbeatExchange::sendTo(const std::string &PeerAddress) {
  auto Remote = http::parseEndpoint(PeerAddress);
  if (!Remote)
    return;
  udp::endpoint To(Remote.value().address(), m_Options.Port);
  std::string Text = encodeHeartbeat(m_Describe());
  // A failed send is treated like a lost datagram.
  error_code Ignored;
  m_Socket.send_to(boost::asio::buffer(Text), To, 0, Ignored);
}

void HeartbeatExchange::receive() {
  m_Socket.async_receive_from(boost::asio::buffer(m_Buffer), m_Sender,
                              [this](error_code Failed, std::size_t Bytes) {
                                if (Failed ==
                                    boost::asio::error::operation_aborted)
                                  return;
                                if (!Failed)
                                  onDatagram(Bytes);
                                receive();
                              });
}

void HeartbeatExchange::onDatagram(std::size_t Bytes) {
  auto Read = decodeHeartbeat(std::string_view(m_Buffer.data(), Bytes));
  if (!Read)
    return;
  if (Read->Contact)
    m_State.onStoreContact(*Read->Contact);
  bool IsNew = m_State.onHeartbeat(Read->Vm);
  if (IsNew)
    sendTo(Read->Vm.Record.PeerAddress);
  m_Heard(*Read);
}

} // namespace carawaypond::gateway
