#include "platform/VmListClient.h"

#include "platform/ObjectCodec.h"
#include "platform/StatusError.h"

namespace carawaypond::platform {

using boost::asio::awaitable;

namespace {

constexpr const char *ListPath = "/v1/vms";

Result<std::vector<ListedVm>> readAnswer(const Result<http::Response> &Answer) {
  std::string What = std::string("GET ") + ListPath;
  if (!Answer)
    return boost::outcome_v2::failure(Answer.error());
  std::optional<Error> Failed = internal::statusError(Answer.value(), What);
  if (Failed)
    return boost::outcome_v2::failure(std::move(*Failed));
  return internal::parseVmList(Answer.value().Body, What);
}

} // namespace

VmListClient::VmListClient(boost::asio::any_io_executor Executor,
                           std::string Address)
    : m_Client(std::move(Executor), {.Address = std::move(Address)}) {}

awaitable<Result<std::vector<ListedVm>>>
VmListClient::list(TimePoint Deadline) {
  ++m_Counts.VmLists;
  http::Request Asked;
  Asked.Path = ListPath;
  auto Answer = co_await m_Client.send(std::move(Asked), Deadline);
  Result<std::vector<ListedVm>> Listed = readAnswer(Answer);
  if (!Listed)
    ++m_Counts.Failed;
  co_return Listed;
}

} // namespace carawaypond::platform
