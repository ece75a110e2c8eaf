#pragma once

#include "core/outcome/Result.h"
#include "gateway/control/FleetState.h"
#include "gateway/peers/Beat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace carawaypond::gateway {

struct BeatOptions {
  std::string Ip;         ///< Of this VM.
  std::uint16_t Port = 0; ///< The same on all VMs.
  Milliseconds Interval{700};
};

/// @brief Sends and takes heartbeats as datagrams. Belongs to the control
/// thread.
class BeatExchange {
public:
  using Own = std::function<Beat()>;
  using OnBeat = std::function<void(const Beat &)>;

  /// @param Describe Gives this VM's heartbeat.
  /// @param Heard Gets the others'.
  BeatExchange(boost::asio::io_context &Context, BeatOptions Options,
               FleetState &State, Own Describe, OnBeat Heard);

  Result<void> start();
  /// @brief Tells the VMs that are to hear this one, now.
  void tellAll();
  /// @brief Tells one VM, by its address for peers.
  void tell(const std::string &PeerAddress);

private:
  static constexpr std::size_t MaxDatagram = 1'400; ///< Bytes.

  void receive();
  void onDatagram(std::size_t Bytes);
  void schedule();

  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  BeatOptions m_Options;
  FleetState &m_State;
  Own m_Describe;
  OnBeat m_Heard;
  std::array<char, MaxDatagram> m_Buffer{};
  boost::asio::ip::udp::endpoint m_Sender;
};

} // namespace carawaypond::gateway
