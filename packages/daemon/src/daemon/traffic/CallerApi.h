#pragma once

#include "daemon/traffic/QueryRunner.h"
#include "daemon/traffic/TicketHandler.h"
#include "daemon/traffic/TrafficContext.h"
#include "http/Request.h"
#include "http/Response.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace carawaypond::daemon {

/// @brief Handles HTTP requests on the callers' port.
class CallerApi {
public:
  /// Answers `GET /v1/addresses` for a caller's address and data centre.
  using AddressSource = std::function<http::Response(const http::Request &)>;

  CallerApi(TrafficContext &Context, QueryRunner &Queries,
            TicketHandler &Tickets, AddressSource Addresses);

  boost::asio::awaitable<http::Response> handle(http::Request Request);

private:
  boost::asio::awaitable<http::Response> query(http::Request Request);
  void count(const http::Response &Response);

  TrafficContext &m_Context;
  QueryRunner &m_Queries;
  TicketHandler &m_Tickets;
  AddressSource m_Addresses;
};

} // namespace carawaypond::daemon
