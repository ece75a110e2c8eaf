#include "gateway/log/EventLog.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

/// @brief RAII wrapper of a non-blocking pipe.
struct Pipe {
  std::array<int, 2> Ends{};

  Pipe() { REQUIRE(::pipe2(Ends.data(), O_NONBLOCK) == 0); }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  [[nodiscard]] std::string readAll() const {
    std::string Text;
    std::array<char, 65'536> Part{};
    ssize_t Got = ::read(Ends[0], Part.data(), Part.size());
    while (Got > 0) {
      Text.append(Part.data(), static_cast<std::size_t>(Got));
      Got = ::read(Ends[0], Part.data(), Part.size());
    }
    return Text;
  }
};

} // namespace

TEST_CASE("a line is a JSON object with a timestamp and escaped strings") {
  Pipe Output;
  EventLog Log({.Descriptor = Output.Ends[1]});
  LogLine Line("started");
  Line.add("text", "a\"b\n").add("count", 3U).add("flag", true);
  Log.write(Line);
  Log.flush();
  std::string Text = Output.readAll();
  CHECK(Text.starts_with("{\"time_ms\":"));
  CHECK(Text.ends_with("\"event\":\"started\",\"text\":\"a\\\"b\\u000a\","
                       "\"count\":3,\"flag\":true}\n"));
}

TEST_CASE("lines are dropped and counted while the pipe is full") {
  Pipe Output;
  EventLog Log({.Descriptor = Output.Ends[1],
                .MaxPendingBytes = 4'096,
                .MaxLinesPerEvent = 1'000'000});
  for (int I = 0; I < 20'000; ++I) {
    Log.write(LogLine("request"));
    if (I % 100 == 0)
      Log.flush();
  }
  CHECK(Log.dropped() > 0);
  std::string Text = Output.readAll();
  CHECK_FALSE(Text.empty());
  Log.flush();
  Log.flush();
  CHECK(Output.readAll().find("lines_left_out") != std::string::npos);
}

TEST_CASE("the rate limit applies to each event separately") {
  Pipe Output;
  EventLog Log({.Descriptor = Output.Ends[1], .MaxLinesPerEvent = 5});
  for (int I = 0; I < 100; ++I)
    Log.write(LogLine("request"));
  Log.write(LogLine("config_applied"));
  Log.flush();
  CHECK(Output.readAll().find("config_applied") != std::string::npos);
  CHECK(Log.dropped() >= 90);
}
