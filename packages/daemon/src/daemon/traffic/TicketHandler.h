#pragma once

#include "coordination/ticket/TicketRegistry.h"
#include "daemon/traffic/QueryRequest.h"
#include "daemon/traffic/QueryRunner.h"
#include "daemon/traffic/TrafficContext.h"
#include "http/Response.h"
#include "peer/message/PeerQuery.h"
#include "peer/message/PeerQueryAnswer.h"
#include "peer/node/Reply.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace carawaypond::peer {
class PeerNode;
} // namespace carawaypond::peer

namespace carawaypond::daemon {

/// @brief Issues tickets, and runs requests that are not repeatable. Each of
/// them runs at most once, on the VM that issued its ticket.
class TicketHandler {
public:
  TicketHandler(TrafficContext &Context, QueryRunner &Queries);

  /// @brief Sets the node used to forward requests to other VMs.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Issues a ticket for a service.
  [[nodiscard]] http::Response issue(const std::string &Body);

  /// @brief Runs or forwards a request that has a ticket, or returns the
  /// outcome of an earlier one.
  /// @param Body The caller's body, forwarded unchanged.
  boost::asio::awaitable<http::Response>
  run(QueryRequest Request, std::string Body, TimePoint ArrivedAt);

  /// @brief Runs a request forwarded by another VM. Must be called on the
  /// traffic thread.
  boost::asio::awaitable<void> serve(peer::PeerQuery Query,
                                     peer::Reply<peer::PeerQueryAnswer> Answer);

private:
  boost::asio::awaitable<http::Response>
  runOnce(Ticket Given, QueryRequest Request, TimePoint ArrivedAt);
  boost::asio::awaitable<http::Response>
  awaitOutcome(Ticket Given, QueryRequest Request, TimePoint ArrivedAt);
  boost::asio::awaitable<http::Response> forward(const ForwardTicket &To,
                                                 const QueryRequest &Request,
                                                 std::string Body,
                                                 TimePoint ArrivedAt);
  [[nodiscard]] TicketDecision begin(const Ticket &Given,
                                     const ServiceName &Service);

  TrafficContext &m_Context;
  QueryRunner &m_Queries;
  TicketRegistry m_Book;
  peer::PeerNode *m_Node = nullptr;
};

} // namespace carawaypond::daemon
