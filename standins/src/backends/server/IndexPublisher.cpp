#include "backends/server/IndexPublisher.h"

#include "common/Sleep.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace carawaypond::standins {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds RetryPause{100};

/// The stored object on which the next write depends.
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
  bool Done = co_await tryPublish(Timeline);
  while (!Done) {
    co_await sleepFor(RetryPause);
    Done = co_await tryPublish(Timeline);
  }
}

asio::awaitable<bool> IndexPublisher::tryPublish(IndexTimeline &Timeline) {
  std::string Target = "/v1/objects/index/" + Timeline.index().Name;
  HttpCall Read{.Server = m_Platform, .Target = Target};
  CurrentObject Current = readCurrent(co_await call(Read));
  if (!Current.Known)
    co_return false;
  // Taken after the read: a newer index that another publication has written
  // since then makes the conditional write fail and is not undone.
  std::uint64_t Layout = Timeline.index().Layouts.back().Layout;
  HttpCall Write{.Server = m_Platform,
                 .Method = "PUT",
                 .Target = Target,
                 .Body = toJson(Timeline.index()).dump()};
  if (Current.Value != Write.Body) {
    bool IsNew = Current.Version == 0;
    Write.IfNoneMatch = IsNew ? "*" : "";
    Write.IfMatch = IsNew ? "" : "\"" + std::to_string(Current.Version) + "\"";
    Result<HttpAnswer> Answer = co_await call(std::move(Write));
    bool IsWritten = Answer && (Answer.value().Status == 200 ||
                                Answer.value().Status == 201);
    if (!IsWritten)
      co_return false;
  }
  Timeline.confirmPublished(Layout);
  co_return true;
}

} // namespace carawaypond::standins
