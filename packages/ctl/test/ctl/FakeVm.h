#pragma once

#include "http/Raw.h"

#include "http/Listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace carawaypond::ctl {

/// @brief Serves a VM's operators' port on its own thread.
class FakeVm {
public:
  using Script = std::function<http::Response(const http::Request &)>;

  explicit FakeVm(Script Answer)
      : m_Server(std::move(
            http::Listener::open(m_Context, {},
                                 [this, Answer](http::Request Request)
                                     -> boost::asio::awaitable<http::Response> {
                                   http::Response Response = Answer(Request);
                                   std::lock_guard Locked(m_Mutex);
                                   m_Received.push_back(std::move(Request));
                                   co_return Response;
                                 })
                .value())),
        m_Thread([this] { m_Context.run(); }) {}

  FakeVm(unsigned Status, std::string Body)
      : FakeVm([Status, Body](const http::Request &) {
          http::Response Response;
          Response.Status = Status;
          Response.Body = Body;
          return Response;
        }) {}

  ~FakeVm() {
    m_Context.stop();
    m_Thread.join();
  }

  [[nodiscard]] std::string address() const { return m_Server->address(); }

  [[nodiscard]] std::vector<http::Request> received() {
    std::lock_guard Locked(m_Mutex);
    return m_Received;
  }

private:
  boost::asio::io_context m_Context{1};
  std::mutex m_Mutex;
  std::vector<http::Request> m_Received;
  std::unique_ptr<http::Listener> m_Server;
  std::thread m_Thread;
};

/// @brief Reads each request and closes the connection without an answer.
class DisconnectingVm {
public:
  DisconnectingVm() : m_Thread([this] { run(); }) {}
  ~DisconnectingVm() {
    m_Context.stop();
    m_Thread.join();
  }

  [[nodiscard]] std::string address() const { return m_Server.address(); }

private:
  void run() {
    boost::asio::co_spawn(
        m_Context,
        [this]() -> boost::asio::awaitable<void> {
          while (true)
            co_await m_Server.serve("");
        },
        boost::asio::detached);
    m_Context.run();
  }

  boost::asio::io_context m_Context{1};
  http::RawServer m_Server{m_Context};
  std::thread m_Thread;
};

/// @return An address on which nothing listens.
inline std::string unusedAddress() {
  boost::asio::io_context Context;
  return http::RawServer(Context).address();
}

} // namespace carawaypond::ctl
