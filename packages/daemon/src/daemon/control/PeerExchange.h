#pragma once

#include "coordination/membership/Digest.h"
#include "daemon/control/ControlState.h"
#include "peer/message/StoredObject.h"
#include "peer/node/Reply.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace carawaypond::peer {
class PeerNode;
} // namespace carawaypond::peer

namespace carawaypond::daemon {

/// @brief Exchanges digests with other VMs, and fetches what they hold and
/// this VM lacks. Used on the control thread only.
class PeerExchange {
public:
  PeerExchange(boost::asio::io_context &Io, ControlState &State)
      : m_Io(Io), m_State(State) {}

  /// @brief Uses @p Node for calls from now on.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Exchanges digests with one VM.
  void exchange(const std::string &Address, bool Full);
  /// @brief Answers another VM's digest.
  void serve(const Digest &Heard, const peer::Reply<Digest> &Answer);
  /// @return The services that are held, of those named or of all.
  [[nodiscard]] std::vector<peer::StoredObject>
  services(const std::vector<std::string> &Names) const;
  /// @return The indexes that are held, of those named or of all.
  [[nodiscard]] std::vector<peer::StoredObject>
  indexes(const std::vector<std::string> &Names) const;

private:
  void onReply(const std::string &Address, const Digest &Heard,
               TimePoint SentAt);
  void takeCommon(const Digest &Heard, TimePoint Now);
  void fetchServices(const std::string &Address, ConfigFetch Wanted);
  void fetchIndexes(const std::string &Address, const Digest &Heard);
  void takeServices(const ConfigFetch &Asked,
                    const std::vector<peer::StoredObject> &Objects);
  void takeIndexes(const std::vector<peer::StoredObject> &Objects);

  boost::asio::io_context &m_Io;
  ControlState &m_State;
  peer::PeerNode *m_Node = nullptr;
};

} // namespace carawaypond::daemon
