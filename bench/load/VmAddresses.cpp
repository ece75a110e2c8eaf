#include "VmAddresses.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace carawaypond::bench {

namespace {

constexpr std::size_t IdleConnections = 512; // per VM
constexpr Milliseconds AddressRequestTimeout{2000};

struct AdvertisedAddresses {
  std::vector<std::string> Addresses;
  Milliseconds Valid{0};
};

std::optional<AdvertisedAddresses> parse(const http::Response &Answer) {
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (Answer.Status != 200 || !Body.is_object() || !Body.contains("addresses"))
    return std::nullopt;
  AdvertisedAddresses Told{.Addresses = Body["addresses"],
                           .Valid = Milliseconds(Body.value("valid_ms", 0))};
  if (Told.Addresses.empty())
    return std::nullopt;
  return Told;
}

} // namespace

VmAddresses::VmAddresses(boost::asio::any_io_executor Executor,
                         std::vector<std::string> Vms)
    : m_Executor(std::move(Executor)), m_Addresses(std::move(Vms)) {}

boost::asio::awaitable<Result<Milliseconds>> VmAddresses::refresh() {
  for (std::size_t Asked = 0; Asked < m_Addresses.size(); ++Asked) {
    http::Client &Vm = next();
    http::Request Question;
    Question.Path = "/v1/addresses";
    TimePoint Deadline = monotonicNow() + AddressRequestTimeout;
    auto Answer = co_await Vm.send(std::move(Question), Deadline);
    if (!Answer)
      continue;
    std::optional<AdvertisedAddresses> Told = parse(Answer.value());
    if (!Told)
      continue;
    m_Addresses = std::move(Told->Addresses);
    co_return Told->Valid;
  }
  co_return failure(ErrorCode::Unavailable,
                    "no VM of " + std::to_string(m_Addresses.size()) +
                        " answered with addresses");
}

http::Client &VmAddresses::next() {
  return clientOf(m_Addresses[m_NextAddress++ % m_Addresses.size()]);
}

http::Client &VmAddresses::clientOf(const std::string &Address) {
  auto Found = m_Clients.find(Address);
  if (Found != m_Clients.end())
    return Found->second;
  http::ClientOptions Options{.Address = Address, .MaxIdle = IdleConnections};
  http::Client Fresh(m_Executor, std::move(Options));
  return m_Clients.emplace(Address, std::move(Fresh)).first->second;
}

} // namespace carawaypond::bench
