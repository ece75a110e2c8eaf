#pragma once

#include "core/outcome/Result.h"
#include "gateway/control/FleetState.h"
#include "gateway/peers/Heartbeat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace carawaypond::gateway {

struct HeartbeatOptions {
  std::string Ip;         ///< Address of this VM.
  std::uint16_t Port = 0; ///< UDP port, the same on all VMs.
  Milliseconds Interval{700};
};

/// @brief Sends and receives heartbeats as UDP datagrams. Used by the control
/// thread only.
class HeartbeatExchange {
public:
  using Own = std::function<Heartbeat()>;
  using OnHeartbeat = std::function<void(const Heartbeat &)>;

  /// @param Describe Returns this VM's heartbeat.
  /// @param Heard Called with each heartbeat that another VM sends.
  HeartbeatExchange(boost::asio::io_context &Context, HeartbeatOptions Options,
                    FleetState &State, Own Describe, OnHeartbeat Heard);

  Result<void> start();
  /// @brief Sends a heartbeat at once to every VM that is to receive them.
  void sendToTargets();
  /// @brief Sends a heartbeat to the VM with this peer address.
  void sendTo(const std::string &PeerAddress);

private:
  static constexpr std::size_t MaxDatagram = 1'400; ///< Bytes.

  void receive();
  void onDatagram(std::size_t Bytes);
  void schedule();

  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  HeartbeatOptions m_Options;
  FleetState &m_State;
  Own m_Describe;
  OnHeartbeat m_Heard;
  std::array<char, MaxDatagram> m_Buffer{};
  boost::asio::ip::udp::endpoint m_Sender;
};

} // namespace carawaypond::gateway
