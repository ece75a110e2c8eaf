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

/// @brief Exchanges digests with other VMs, and fetches the objects that are
/// missing or outdated here. Used on the control thread only.
class PeerExchange {
public:
  PeerExchange(boost::asio::io_context &Io, ControlState &State)
      : m_Io(Io), m_State(State) {}

  /// @brief Sets the node used for calls to other VMs.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Starts a digest exchange with one VM.
  /// @param Full Whether the digest includes VM records and data centres.
  void exchange(const std::string &Address, bool Full);
  /// @brief Replies to another VM's digest, and fetches what is newer there.
  void serve(const Digest &Heard, const peer::Reply<Digest> &Answer);
  /// @return The held services with the given names; all if @p Names is empty.
  [[nodiscard]] std::vector<peer::StoredObject>
  services(const std::vector<std::string> &Names) const;
  /// @return The held indexes with the given names; all if @p Names is empty.
  [[nodiscard]] std::vector<peer::StoredObject>
  indexes(const std::vector<std::string> &Names) const;

private:
  void onReply(const std::string &Address, const Digest &Heard,
               TimePoint SentAt);
  void mergeVersionsAndNotify(const Digest &Heard, TimePoint Now);
  void fetchServices(const std::string &Address, ConfigFetch Wanted);
  void fetchIndexes(const std::string &Address, const Digest &Heard);
  void mergeServices(const ConfigFetch &Asked,
                     const std::vector<peer::StoredObject> &Objects);
  void mergeIndexes(const std::vector<peer::StoredObject> &Objects);

  boost::asio::io_context &m_Io;
  ControlState &m_State;
  peer::PeerNode *m_Node = nullptr;
};

} // namespace carawaypond::daemon
