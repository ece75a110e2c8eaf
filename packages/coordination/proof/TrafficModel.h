#pragma once

#include "Messages.h"
#include "OwnerModel.h"
#include "ResultChecker.h"
#include "ServerModel.h"
#include "Step.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::proof {

/// @brief One coordinator, its owners, backend servers and the network between
/// them, driven by random steps. Records for the checker what was run.
class TrafficModel {
public:
  TrafficModel(TrafficProperty Property, OwnershipUnit Unit);

  [[nodiscard]] const ResultChecker &checker() const { return m_Checker; }
  [[nodiscard]] std::uint64_t events() const { return m_Events; }

  /// @return The library's counters, by name.
  [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

  void apply(const Step &Next);
  /// @brief Advances time and delivers all messages until none is pending and
  /// all queries are finished.
  void drain();

private:
  void addLayout();
  void newQuery(std::uint32_t Pick);
  void deliver(std::size_t Index, bool IsDuplicated);
  void lose(std::size_t Index);
  void failToConnect(std::size_t Index);
  void misroute(std::size_t Index, std::uint32_t Pick);
  void endRun(ServerModel &Server, std::uint32_t Pick, StepKind How);
  void reportStatus(const ServerModel &Server);
  void setState(const ServerName &Server, ServerState State);
  void tickAll();

  void receive(const SubrequestToOwner &Arrived);
  void receive(const CancelToOwner &Arrived);
  void receive(const OutcomeToCoordinator &Arrived);
  void receive(const OwnerLost &Arrived);
  void receive(const AttemptToServer &Arrived);
  void receive(const CancelToServer &Arrived);
  void receive(const ReplyFromServer &Arrived);
  void receive(const AttemptLost &Arrived);

  void act(std::size_t Query, QueryActions Actions);
  void post(std::vector<Message> Messages);
  OwnerModel &owner(const VmName &Name);
  ServerModel &server(const ServerName &Name);

  TimePoint m_Now;
  std::uint64_t m_Events = 0;
  IndexVersion m_Newest{1};
  std::unique_ptr<SnapshotPinner> m_Pinner;
  std::shared_ptr<const RouteTable> m_Routes;
  ExtraLoadBudget m_Budget{{.Ratio = 0.3, .Burst = 10}};
  IdGenerator<SubrequestId> m_Ids;
  std::vector<std::unique_ptr<OwnerModel>> m_Owners;
  std::vector<ServerModel> m_Servers;
  std::vector<std::unique_ptr<QueryRun>> m_Queries;
  std::vector<Message> m_Messages;
  ResultChecker m_Checker;
};

} // namespace carawaypond::proof
