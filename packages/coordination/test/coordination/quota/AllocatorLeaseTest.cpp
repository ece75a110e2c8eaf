#include "coordination/quota/AllocatorLease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

using namespace carawaypond;

namespace {

const BootTime Start = BootTime(std::chrono::hours(1));
const AllocatorLeaseOptions Options;

AllocatorRecord makeRecord(const std::string &Vm, std::uint64_t Life = 1) {
  return {.Vm = VmName(Vm),
          .IncarnationNumber = Incarnation(Life),
          .Address = Vm + ":1"};
}

/// The object of the lease, with conditional writes.
class Store {
public:
  std::optional<StoredAllocator> read() const { return m_Stored; }

  /// @return The new revision, or nothing if the condition does not hold.
  std::optional<StoreRevision> write(const WriteLease &Lease) {
    // A store that went back knows numbers only, which it gives out again.
    auto numberOf = [](const StoreRevision &Of) { return Of.number(); };
    auto Current =
        m_Stored ? std::optional(numberOf(m_Stored->Revision)) : std::nullopt;
    auto Asked = Lease.Revision ? std::optional(numberOf(*Lease.Revision))
                                : std::nullopt;
    if (Current != Asked)
      return std::nullopt;
    StoreRevision Written(++m_Revision, m_Era);
    m_Stored = {.Record = Lease.Record, .Revision = Written};
    bool IsSameEra = !Lease.Revision || Lease.Revision->era() == m_Era;
    return IsSameEra ? std::optional(Written) : std::nullopt;
  }

  [[nodiscard]] StoreEra era() const { return m_Era; }
  /// @brief Makes the store name its era, which begins with the first one.
  void nameEra() { m_Era = StoreEra(1); }
  void takeCopy() {
    m_Copy = m_Stored;
    m_CopyRevision = m_Revision;
  }
  /// @brief Goes back to the copy.
  void restore() {
    m_Era = StoreEra(m_Era.value() + 1);
    m_Stored = m_Copy;
    m_Revision = m_CopyRevision;
    if (m_Stored)
      m_Stored->Revision = StoreRevision(m_Stored->Revision.number(), m_Era);
  }

private:
  std::optional<StoredAllocator> m_Stored;
  std::optional<StoredAllocator> m_Copy;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_CopyRevision = 0;
  StoreEra m_Era;
};

void carryOut(AllocatorLease &By, const LeaseAction &Action, Store &At,
              BootTime Now) {
  if (std::holds_alternative<ReadLease>(Action))
    return By.onRead(At.read(), At.era(), Now);
  if (auto Revision = At.write(std::get<WriteLease>(Action)))
    By.onWritten(*Revision, Now);
  else
    By.onCallFailed(Now);
}

/// @brief Carries the action out at once; its answer stays outstanding.
/// @return Reports the answer. @p Now is read when it is called.
std::function<void()> carryOutLate(AllocatorLease &By, LeaseAction Action,
                                   Store &At, const BootTime &Now) {
  if (std::holds_alternative<ReadLease>(Action))
    return [&By, &Now, Found = At.read(), Era = At.era()] {
      By.onRead(Found, Era, Now);
    };
  if (auto Revision = At.write(std::get<WriteLease>(Action)))
    return [&By, &Now, Revision] { By.onWritten(*Revision, Now); };
  return [&By, &Now] { By.onCallFailed(Now); };
}

void run(AllocatorLease &Each, Store &At, BootTime From, Duration For,
         FleetOutlook Seen = {.HearsOthers = true}) {
  for (BootTime Now = From; Now < From + For; Now += Milliseconds(50))
    if (auto Action = Each.tick(Seen, Now))
      carryOut(Each, *Action, At, Now);
}

/// @return The next call of @p Of to the store; @p Now is when it is due.
LeaseAction awaitCall(AllocatorLease &Of, BootTime &Now) {
  BootTime Until = Now + Milliseconds(10'000);
  for (; Now < Until; Now += Milliseconds(50))
    if (auto Action = Of.tick({.HearsOthers = true}, Now))
      return *Action;
  throw std::runtime_error("no call to the store is due");
}

/// @return The next write of @p Of, after the reads before it.
WriteLease awaitWrite(AllocatorLease &Of, Store &At, BootTime &Now) {
  for (;;) {
    LeaseAction Action = awaitCall(Of, Now);
    if (auto *Write = std::get_if<WriteLease>(&Action))
      return *Write;
    Of.onRead(At.read(), At.era(), Now);
  }
}

/// @brief VM "a" has held the lease for 4 s.
struct HeldLease {
  Store At;
  AllocatorLease First{makeRecord("a"), Options, Start};
  BootTime Now = Start + Milliseconds(4'000);

  HeldLease() { run(First, At, Start, Now - Start); }

  /// @return VM "b", which knows the lease and can't reach its holder.
  [[nodiscard]] AllocatorLease makeSecond() const {
    AllocatorLease Second(makeRecord("b"), Options, Now);
    Second.onAllocatorNamed(*First.known(), Now);
    Second.onAllocatorUnreachable(First.known()->Term, Now);
    return Second;
  }
  /// @return Whether @p Lease may grant after @p For.
  bool grantsAfter(AllocatorLease &Lease, Milliseconds For) {
    run(Lease, At, Now, For);
    return Lease.mayGrant(Now + For);
  }
};

} // namespace

TEST_CASE("the first allocator grants at once, and goes on while it renews") {
  Store At;
  AllocatorLease Lease(makeRecord("a"), Options, Start);
  run(Lease, At, Start, Milliseconds(900));
  CHECK(Lease.mayGrant(Start + Milliseconds(900)));
  CHECK(Lease.isFirst());
  run(Lease, At, Start + Milliseconds(900), Milliseconds(10'000));
  CHECK(Lease.mayGrant(Start + Milliseconds(10'900)));
}

TEST_CASE("an allocator that can't reach the store stops granting") {
  Store At;
  AllocatorLease Lease(makeRecord("a"), Options, Start);
  run(Lease, At, Start, Milliseconds(900));
  // Also one that was frozen meanwhile: the time is the boot clock's.
  CHECK_FALSE(Lease.mayGrant(Start + Milliseconds(4'000)));
}

TEST_CASE("a VM that takes over waits until the earlier lease has run out") {
  HeldLease Made;
  AllocatorLease Second = Made.makeSecond();
  run(Second, Made.At, Made.Now, Milliseconds(1'000));
  CHECK(Second.isHolder());
  CHECK_FALSE(Second.isFirst());
  CHECK_FALSE(Second.mayGrant(Made.Now + Milliseconds(3'000)));
  run(Second, Made.At, Made.Now + Milliseconds(1'000), Milliseconds(3'000));
  CHECK(Second.mayGrant(Made.Now + Milliseconds(4'000)));
  // The first one finds out by its next renewal.
  run(Made.First, Made.At, Made.Now + Milliseconds(4'000), Milliseconds(2'000));
  CHECK_FALSE(Made.First.isHolder());
}

TEST_CASE("a released lease, and that of an earlier start, is used at once") {
  HeldLease Made;
  SUBCASE("released") {
    auto Released = Made.First.release(Made.Now);
    REQUIRE(Released);
    REQUIRE(Made.At.write(*Released));
    AllocatorLease Second(makeRecord("b"), Options, Made.Now);
    CHECK(Made.grantsAfter(Second, Milliseconds(900)));
  }
  SUBCASE("the same VM has started again") {
    AllocatorLease Again(makeRecord("a", 2), Options, Made.Now);
    CHECK(Made.grantsAfter(Again, Milliseconds(900)));
    CHECK_FALSE(Again.isFirst());
  }
  SUBCASE("another incarnation answers in place of the allocator") {
    AllocatorLease Second(makeRecord("b"), Options, Made.Now);
    Second.onAllocatorNamed(*Made.First.known(), Made.Now);
    Second.onAllocatorEnded(Made.First.known()->Term, Made.Now);
    CHECK(Made.grantsAfter(Second, Milliseconds(200)));
  }
}

TEST_CASE("a lease that has not yet been used is not free when its VM starts "
          "again") {
  HeldLease Made;
  AllocatorLease Second = Made.makeSecond();
  run(Second, Made.At, Made.Now, Milliseconds(800));
  REQUIRE(Second.isHolder());
  // The first one may still grant for most of its lease.
  Made.Now += Milliseconds(800);
  AllocatorLease Again(makeRecord("b", 2), Options, Made.Now);
  CHECK_FALSE(Made.grantsAfter(Again, Milliseconds(900)));
  CHECK(Again.isHolder());
}

TEST_CASE("a write whose answer is lost counts from the read that finds it") {
  Store At;
  AllocatorLease Lease(makeRecord("a"), Options, Start);
  BootTime Now = Start + Milliseconds(700);
  auto Read = Lease.tick({}, Now);
  REQUIRE(Read);
  carryOut(Lease, *Read, At, Now);
  auto Write = Lease.tick({}, Now);
  REQUIRE(Write);
  REQUIRE(At.write(std::get<WriteLease>(*Write)));
  Lease.onCallFailed(Now);
  CHECK_FALSE(Lease.isHolder());
  run(Lease, At, Now, Milliseconds(400));
  CHECK(Lease.isHolder());
  CHECK_FALSE(Lease.mayGrant(Now + Milliseconds(400)));
}

TEST_CASE("a call to the store that is outstanding at a release does not make "
          "the VM hold the lease again") {
  HeldLease Made;
  BootTime &Now = Made.Now;
  SUBCASE("renewal") {
    auto Revision = Made.At.write(awaitWrite(Made.First, Made.At, Now));
    REQUIRE(Revision);
    (void)Made.First.release(Now);
    // Another VM is told of the release, and allocates at once.
    AllocatorLease Second(makeRecord("b"), Options, Now);
    Second.onAllocatorNamed(*Made.First.newest(), Now);
    CHECK(Made.grantsAfter(Second, Milliseconds(200)));
    Now += Milliseconds(200);
    Made.First.onWritten(*Revision, Now);
    CHECK_FALSE(Made.First.isHolder());
    CHECK_FALSE(Made.First.mayGrant(Now));
  }
  SUBCASE("takeover") {
    AllocatorLease Second = Made.makeSecond();
    auto Revision = Made.At.write(awaitWrite(Second, Made.At, Now));
    REQUIRE(Revision);
    CHECK_FALSE(Second.release(Now));
    Second.onWritten(*Revision, Now);
    CHECK_FALSE(Second.isHolder());
  }
  SUBCASE("read that finds a takeover whose answer was lost") {
    AllocatorLease Second = Made.makeSecond();
    REQUIRE(Made.At.write(awaitWrite(Second, Made.At, Now)));
    Second.onCallFailed(Now);
    REQUIRE(std::holds_alternative<ReadLease>(awaitCall(Second, Now)));
    CHECK_FALSE(Second.release(Now));
    Second.onRead(Made.At.read(), Made.At.era(), Now);
    CHECK_FALSE(Second.isHolder());
  }
}

TEST_CASE("a call to the store that is outstanding as a newer term is heard "
          "does not bring an earlier term back") {
  HeldLease Made;
  BootTime &Now = Made.Now;
  AllocatorLease Second = Made.makeSecond();
  SUBCASE("renewal") {
    auto Renewed = Made.At.write(awaitWrite(Made.First, Made.At, Now));
    REQUIRE(Renewed);
    REQUIRE(Made.grantsAfter(Second, Milliseconds(4'500)));
    Made.First.onAllocatorNamed(*Second.known(), Now);
    Made.First.onWritten(*Renewed, Now);
  }
  SUBCASE("read that finds the earlier term") {
    Made.First.onCallFailed(Now);
    auto Stored = Made.At.read();
    REQUIRE(std::holds_alternative<ReadLease>(awaitCall(Made.First, Now)));
    REQUIRE(Made.grantsAfter(Second, Milliseconds(4'500)));
    Made.First.onAllocatorNamed(*Second.known(), Now);
    Made.First.onRead(Stored, Made.At.era(), Now);
  }
  CHECK_FALSE(Made.First.isHolder());
  REQUIRE(Made.First.known());
  CHECK(Made.First.known()->Vm == VmName("b"));
}

TEST_CASE("a VM that takes over while an older term is heard still holds the "
          "lease") {
  HeldLease Made;
  AllocatorRecord Earlier = *Made.First.known();
  auto Released = Made.First.release(Made.Now);
  REQUIRE(Released);
  REQUIRE(Made.At.write(*Released));
  AllocatorLease Second(makeRecord("b"), Options, Made.Now);
  auto Revision = Made.At.write(awaitWrite(Second, Made.At, Made.Now));
  REQUIRE(Revision);
  Second.onAllocatorNamed(Earlier, Made.Now);
  Second.onWritten(*Revision, Made.Now);
  CHECK(Second.isHolder());
}

TEST_CASE("a holder that the store turns away hands over without a wait") {
  HeldLease Made;
  BootTime &Now = Made.Now;
  while (Made.First.isHolder() && Now < Start + Milliseconds(7'000)) {
    Now += Milliseconds(50);
    if (Made.First.tick({.HearsOthers = true, .IsStoreUp = true}, Now))
      Made.First.onCallFailed(Now);
  }
  CHECK_FALSE(Made.First.mayGrant(Now));
  CHECK(Now < Start + Milliseconds(6'000));
  AllocatorLease Second(makeRecord("b"), Options, Start);
  Second.onAllocatorNamed(*Made.First.newest(), Now);
  CHECK(Made.grantsAfter(Second, Milliseconds(200)));
}

TEST_CASE("a holder that was turned away takes the lease again if nobody else "
          "does") {
  HeldLease Made;
  BootTime &Now = Made.Now;
  // Frozen for longer than the age of its proof.
  Now += Milliseconds(2'500);
  FleetOutlook Alone{.IsStoreUp = true};
  CHECK_FALSE(Made.First.tick(Alone, Now));
  REQUIRE_FALSE(Made.First.isHolder());
  run(Made.First, Made.At, Now, Milliseconds(1'000), Alone);
  CHECK(Made.First.mayGrant(Now + Milliseconds(1'000)));
}

TEST_CASE("a VM that hears nobody leaves a lease that is renewed alone") {
  HeldLease Made;
  AllocatorLease Second = Made.makeSecond();
  BootTime Until = Made.Now + Milliseconds(10'000);
  for (; Made.Now < Until; Made.Now += Milliseconds(50)) {
    run(Made.First, Made.At, Made.Now, Milliseconds(50));
    run(Second, Made.At, Made.Now, Milliseconds(50), {});
  }
  CHECK(Made.First.mayGrant(Made.Now));
  CHECK_FALSE(Second.isHolder());
  // The first one is gone for good; nobody else is left.
  run(Second, Made.At, Made.Now, Milliseconds(8'000), {});
  CHECK(Second.mayGrant(Made.Now + Milliseconds(8'000)));
}

TEST_CASE("less preferred VMs wait longer, so that few write") {
  for (std::uint64_t Rank : {0U, 1U, 5U, 1'000U}) {
    AllocatorLease Lease(makeRecord("a"), Options, Start);
    Milliseconds Delay =
        Options.TakeoverDelay +
        Options.DelayPerRank *
            static_cast<std::int64_t>(std::min(Rank, Options.MaxRank));
    CHECK_FALSE(Lease.tick({.Rank = Rank}, Start + Delay - Milliseconds(1)));
    CHECK(Lease.tick({.Rank = Rank}, Start + Delay));
  }
}

namespace {

/// @brief Lets some VMs run, lose calls and stand still.
/// @param Restores Whether the store goes back to a copy now and then.
/// @return Whether no two of them ever granted at the same time.
bool grantsAlone(bool Restores) {
  return rc::check([Restores] {
    Store At;
    if (Restores)
      At.nameEra();
    BootTime Now = Start;
    auto Vms = *rc::gen::inRange<std::size_t>(2, 5);
    std::vector<std::unique_ptr<AllocatorLease>> Leases;
    std::vector<std::uint64_t> Lives(Vms, 1);
    // Reports to a VM the answer that it awaits.
    std::vector<std::function<void()>> Answers(Vms);
    auto start = [&](std::size_t Vm) {
      return std::make_unique<AllocatorLease>(
          makeRecord(std::to_string(Vm), Lives[Vm]), Options, Now);
    };
    for (std::size_t I = 0; I < Vms; ++I)
      Leases.push_back(start(I));
    std::deque<WriteLease> LateWrites;
    for (int Step = 0; Step < 800; ++Step) {
      Now += Milliseconds(*rc::gen::inRange(1, 120));
      auto At1 = *rc::gen::inRange<std::size_t>(0, Vms);
      AllocatorLease &Each = *Leases[At1];
      int Event = *rc::gen::inRange(0, 60);
      if (Event == 0) {
        ++Lives[At1];
        Leases[At1] = start(At1);
        Answers[At1] = nullptr;
        continue;
      }
      if (Event == 1)
        if (auto Released = Each.release(Now))
          LateWrites.push_back(*Released);
      if (Event < 10)
        Each.onAllocatorUnreachable(Each.known() ? Each.known()->Term : 0, Now);
      if (Restores && Event >= 50 && Event < 54)
        At.takeCopy();
      if (Restores && Event == 54)
        At.restore();
      if (Event == 10 && !LateWrites.empty()) {
        (void)At.write(LateWrites.front());
        LateWrites.pop_front();
      }
      FleetOutlook Seen{.HearsOthers = *rc::gen::inRange(0, 2) == 0,
                        .IsStoreUp = *rc::gen::inRange(0, 2) == 0};
      if (Event >= 11 && Event < 15) {
        const auto &Other = Leases[*rc::gen::inRange<std::size_t>(0, Vms)];
        if (Other->newest())
          Each.onAllocatorNamed(*Other->newest(), Now);
      }
      if (Answers[At1] && Event >= 15 && Event < 30)
        std::exchange(Answers[At1], nullptr)();
      if (auto Action = Each.tick(Seen, Now)) {
        int Fate = *rc::gen::inRange(0, 6);
        auto *Write = std::get_if<WriteLease>(&*Action);
        if (Fate == 0 && Write != nullptr)
          LateWrites.push_back(*Write);
        if (Fate == 0)
          Each.onCallFailed(Now);
        else if (Fate <= 2)
          Answers[At1] = carryOutLate(Each, *Action, At, Now);
        else
          carryOut(Each, *Action, At, Now);
      }
      std::size_t Granting = 0;
      for (const auto &Lease : Leases)
        Granting += Lease->mayGrant(Now) ? 1 : 0;
      RC_ASSERT(Granting <= 1U);
    }
  });
}

} // namespace

TEST_CASE("no two VMs may grant at the same time, whatever calls to the store "
          "are lost or late, and whichever VMs stand still") {
  CHECK(grantsAlone(false));
}

TEST_CASE("QUOTA: no two VMs may grant at the same time although the store "
          "goes back and has lost leases") {
  CHECK(grantsAlone(true));
}

TEST_CASE("QUOTA: a holder goes on after the store went back") {
  HeldLease Made;
  Made.At.nameEra();
  run(Made.First, Made.At, Made.Now, Milliseconds(2'000));
  Made.At.takeCopy();
  run(Made.First, Made.At, Made.Now + Milliseconds(2'000), Milliseconds(5'000));
  Made.At.restore();
  BootTime Back = Made.Now + Milliseconds(7'000);
  run(Made.First, Made.At, Back, Milliseconds(6'000));
  CHECK(Made.First.isHolder());
  CHECK(Made.First.mayGrant(Back + Milliseconds(6'000)));
}
