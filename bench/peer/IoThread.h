#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace carawaypond::bench {

/// @brief An io_context and the thread that runs it; acts as a traffic thread.
class IoThread {
public:
  IoThread() : m_Thread([this] { m_Io.run(); }) {}
  ~IoThread() {
    m_Io.stop();
    m_Thread.join();
  }
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;

  [[nodiscard]] boost::asio::io_context &io() { return m_Io; }

private:
  boost::asio::io_context m_Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work{m_Io.get_executor()};
  std::thread m_Thread;
};

} // namespace carawaypond::bench
