#pragma once

#include "adapter/SiteSettings.h"
#include "http/Listener.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace carawaypond::gateway {

/// @brief Fake of the platform's store and of replicas, which serve the
/// published protocol on loopback.
class FakeSite {
public:
  /// @brief A fake replica: the requests that it received, and its answer.
  struct Replica {
    std::string Id;
    std::string Service;
    std::string Address;
    std::atomic<int> Arrivals = 0;
    std::atomic<TimePoint> LastArrival = TimePoint();
    std::function<http::Response(const http::Request &)> Answer;
    std::unique_ptr<http::Listener> Listener;
    std::atomic<bool> HasEnded = false;
  };

  enum class EndpointState {
    Open,
    Refusing,
    Silent,
    HoldingWrites, ///< POST and PUT are carried out once it is open again.
  };

  /// @brief An address of the store for one VM, at which faults can be
  /// injected.
  struct StoreEndpoint {
    std::atomic<EndpointState> State = EndpointState::Open;
    std::atomic<int> Calls = 0;
    std::unique_ptr<http::Listener> Listener;
  };

  FakeSite();
  FakeSite(const FakeSite &) = delete;
  FakeSite &operator=(const FakeSite &) = delete;
  ~FakeSite();

  /// @return Settings of a VM on this site, with ephemeral ports.
  [[nodiscard]] adapter::SiteSettings settings(const std::string &Vm) const;
  /// @return The same, with a retry budget that lets a VM retry right after its
  /// start, when it may use only a small part of the slack.
  [[nodiscard]] adapter::SiteSettings
  settingsWithRetries(const std::string &Vm) const;

  /// @brief Adds an address of the store.
  StoreEndpoint &addStoreEndpoint();
  /// @brief Adds a replica and its entry in the store.
  Replica &addReplica(const std::string &Service);
  /// @brief Ends a replica, as a crash does: its connections and its listener
  /// close without an answer. Called in its Answer.
  void end(Replica &Ended);
  /// @brief Writes a replica's entry.
  /// @param State The wire value of the state.
  void putEntry(const Replica &Of, const char *State, int Sequence,
                const char *Centre = "umea-a",
                Milliseconds WarmupLeft = Milliseconds(0));
  /// @brief Writes an object to the store.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Content);
  void remove(const std::string &Kind, const std::string &Name);
  /// @return The object as the store holds it; null if there is none.
  [[nodiscard]] nlohmann::json get(const std::string &Kind,
                                   const std::string &Name);
  /// @brief Writes a configuration with @p Routes.
  void putConfig(int Version, nlohmann::json Routes);
  /// @brief Makes the store refuse all calls, or answer them again.
  void setStoreDown(bool IsDown);
  /// @brief Takes a copy of what the store holds, for restoreCopy().
  void takeCopy();
  /// @brief Makes the store go back to the copy, with the copy's revision and
  /// the next era, and cuts the watches.
  /// @param GivenOut Number of revisions that the store gives out again at
  /// once, as other writers are busy.
  void restoreCopy(std::uint64_t GivenOut = 0);
  /// @brief Makes the store carry out POST and PUT only once this ends. Other
  /// calls are answered.
  void setHoldsWrites(bool Holds);

private:
  struct Stored {
    nlohmann::json Object;
    std::uint64_t Revision = 0;
    bool IsDeleted = false;
  };
  using Objects = std::map<std::string, std::map<std::string, Stored>>;

  std::unique_ptr<http::Listener> listen(http::Handler Answer);
  boost::asio::awaitable<http::Response> serve(http::Request Asked,
                                               const StoreEndpoint &At);
  /// @return The store's answer to a call, without its era.
  boost::asio::awaitable<http::Response> execute(http::Request Asked,
                                                 const StoreEndpoint &At);
  /// @return The answer to a watch.
  boost::asio::awaitable<http::Response>
  watch(http::Request Asked, std::string Kind, const StoreEndpoint &At);
  /// @return The answer to a write, which may have a condition.
  http::Response write(const http::Request &Asked, const std::string &Kind);
  boost::asio::awaitable<void> awaitOpen(const StoreEndpoint &At,
                                         bool IsWrite = false);
  [[nodiscard]] nlohmann::json list(const std::string &Kind);
  [[nodiscard]] nlohmann::json changes(const std::string &Kind,
                                       std::uint64_t Since);

  boost::asio::io_context m_Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  std::mutex m_Mutex;
  Objects m_Objects;
  std::uint64_t m_Revision = 1;
  Objects m_Copy;
  std::uint64_t m_CopyRevision = 1;
  std::atomic<std::uint64_t> m_Era = 1;
  std::vector<std::unique_ptr<StoreEndpoint>> m_StoreEndpoints;
  std::vector<std::unique_ptr<Replica>> m_Replicas;
  std::thread m_Thread;
};

} // namespace carawaypond::gateway
