#pragma once

#include "coordination/ticket/TicketBook.h"
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

/// @brief Gives out tickets, and serves requests that are not repeatable: each
/// at the VM that gave out its ticket, at most once.
class TicketDesk {
public:
  TicketDesk(TrafficContext &Context, QueryRunner &Queries);

  /// @brief Uses @p Node to pass requests on from now on.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Gives out a ticket for a service.
  [[nodiscard]] http::Response issue(const std::string &Body);

  /// @brief Serves a request that carries a ticket.
  /// @param Body The caller's body, to be passed on as it is.
  boost::asio::awaitable<http::Response>
  run(QueryRequest Request, std::string Body, TimePoint ArrivedAt);

  /// @brief Serves a request that another VM passed on. Call it on the traffic
  /// thread.
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
  [[nodiscard]] TicketVerdict begin(const Ticket &Given,
                                    const ServiceName &Service);

  TrafficContext &m_Context;
  QueryRunner &m_Queries;
  TicketBook m_Book;
  peer::PeerNode *m_Node = nullptr;
};

} // namespace carawaypond::daemon
