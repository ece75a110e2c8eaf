#include "http/Connection.h"

#include "http/ClientStream.h"

namespace carawaypond::http {

using boost::asio::awaitable;
using internal::ClientStream;

namespace {

/// @brief Connects @p Stream and keeps it alive until the call ends.
awaitable<Result<void>> connectStream(std::shared_ptr<ClientStream> Stream,
                                      TimePoint Deadline) {
  co_return co_await Stream->connect(Deadline);
}

/// @brief Sends a request on @p Stream and keeps it alive until the call ends.
awaitable<Result<Response>> exchange(std::shared_ptr<ClientStream> Stream,
                                     Request Asked, TimePoint Deadline) {
  co_return co_await Stream->roundTrip(std::move(Asked), Deadline);
}

} // namespace

Connection::Connection(boost::asio::any_io_executor Executor,
                       std::string Address, ConnectionOptions Options)
    : m_Stream(std::make_shared<ClientStream>(std::move(Executor),
                                              std::move(Address), Options)) {}

Connection::Connection(Connection &&) noexcept = default;

Connection &Connection::operator=(Connection &&Other) noexcept {
  std::swap(m_Stream, Other.m_Stream);
  return *this;
}

Connection::~Connection() {
  if (m_Stream)
    m_Stream->close();
}

bool Connection::isOpen() const { return m_Stream->isOpen(); }

const std::string &Connection::address() const { return m_Stream->address(); }

awaitable<Result<void>> Connection::connect(TimePoint Deadline) {
  return connectStream(m_Stream, Deadline);
}

awaitable<Result<Response>> Connection::roundTrip(Request Asked,
                                                  TimePoint Deadline) {
  return exchange(m_Stream, std::move(Asked), Deadline);
}

void Connection::close() { m_Stream->close(); }

} // namespace carawaypond::http
