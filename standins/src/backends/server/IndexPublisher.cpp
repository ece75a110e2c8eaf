#include "backends/server/IndexPublisher.h"

#include "common/Sleep.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace carawaypond::standins {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds RetryPause{100};

/// What a read of the object means for the write that follows.
struct CurrentObject {
  bool Known = false; ///< The read was answered.
  std::uint64_t Version = 0;
  std::string Value;
};

CurrentObject readCurrent(const Result<HttpAnswer> &Answer) {
  if (!Answer)
    return {};
  if (Answer.value().Status == 404)
    return {.Known = true, .Version = 0, .Value = {}};
  auto Json = nlohmann::json::parse(Answer.value().Body, nullptr, false);
  if (Answer.value().Status != 200 || !Json.is_object())
    return {};
  return {.Known = true,
          .Version = Json.value("version", std::uint64_t(0)),
          .Value = Json["value"].dump()};
}

} // namespace

IndexPublisher::IndexPublisher(std::string Platform)
    : m_Platform(std::move(Platform)) {}

asio::awaitable<void> IndexPublisher::publish(IndexTimeline &Timeline) {
  while (true) {
    // Read anew each time: a concurrent publication must not be undone.
    std::uint64_t Layout = Timeline.index().Layouts.back().Layout;
    std::string Value = toJson(Timeline.index()).dump();
    if (co_await tryPublish(Timeline.index().Name, Value)) {
      Timeline.confirmPublished(Layout);
      co_return;
    }
    co_await sleepFor(RetryPause);
  }
}

asio::awaitable<bool> IndexPublisher::tryPublish(const std::string &Name,
                                                 const std::string &Value) {
  HttpCall Read{.Server = m_Platform, .Target = "/v1/objects/index/" + Name};
  CurrentObject Current = readCurrent(co_await call(Read));
  if (!Current.Known)
    co_return false;
  if (Current.Value == Value)
    co_return true;
  HttpCall Write{.Server = m_Platform,
                 .Method = "PUT",
                 .Target = "/v1/objects/index/" + Name,
                 .Body = Value};
  if (Current.Version == 0)
    Write.IfNoneMatch = "*";
  else
    Write.IfMatch = "\"" + std::to_string(Current.Version) + "\"";
  Result<HttpAnswer> Answer = co_await call(std::move(Write));
  co_return Answer &&
      (Answer.value().Status == 200 || Answer.value().Status == 201);
}

} // namespace carawaypond::standins
