#include "coordination/membership/VmTable.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <tuple>

namespace carawaypond {

namespace {

auto rank(const VmRecord &Record) {
  return std::make_tuple(Record.IncarnationNumber, Record.Counter,
                         Record.State);
}

bool hasSameIdentity(const VmRecord &Left, const VmRecord &Right) {
  return Left.IncarnationNumber == Right.IncarnationNumber &&
         Left.State == Right.State && Left.Centre == Right.Centre &&
         Left.PeerAddress == Right.PeerAddress &&
         Left.CallerAddress == Right.CallerAddress &&
         Left.OperatorAddress == Right.OperatorAddress;
}

} // namespace

const VmRecord *VmTable::find(const VmName &Name) const {
  auto Found = m_Records.find(Name);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

bool VmTable::supersedes(const VmRecord &Other, const VmRecord &Known) {
  return rank(Other) > rank(Known);
}

VmTable::Change VmTable::merge(const VmRecord &Record) {
  auto Found = m_Records.find(Record.Name);
  if (Found == m_Records.end()) {
    if (m_Records.size() >= m_MaxVms)
      return Change::None;
    m_Records.emplace(Record.Name, Record);
    return Change::Notable;
  }
  VmRecord &Known = Found->second;
  if (!supersedes(Record, Known))
    return Change::None;
  Change What =
      hasSameIdentity(Record, Known) ? Change::Counter : Change::Notable;
  Known = Record;
  return What;
}

void VmTable::worsenState(const VmName &Name, VmState State) {
  auto Found = m_Records.find(Name);
  CARAWAYPOND_INVARIANT(Found != m_Records.end(),
                        "state set for an unknown VM");
  CARAWAYPOND_INVARIANT(State > Found->second.State,
                        "a VM's state can only worsen without a new heartbeat");
  Found->second.State = State;
}

std::vector<VmRecord> VmTable::rotate(std::size_t Count) {
  std::vector<VmRecord> Part;
  auto Next = m_Records.upper_bound(m_Cursor);
  Count = std::min(Count, m_Records.size());
  while (Part.size() < Count) {
    if (Next == m_Records.end())
      Next = m_Records.begin();
    Part.push_back(Next->second);
    ++Next;
  }
  if (!Part.empty())
    m_Cursor = Part.back().Name;
  return Part;
}

} // namespace carawaypond
