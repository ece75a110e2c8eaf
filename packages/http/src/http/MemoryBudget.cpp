#include "http/MemoryBudget.h"

#include "http/MemoryReservation.h"

namespace carawaypond::http {

MemoryReservation *MemoryBudget::largestDroppable() const {
  MemoryReservation *Largest = nullptr;
  for (MemoryReservation *Each : m_Holders)
    if (Each->isDroppable() &&
        (Largest == nullptr || Each->bytes() > Largest->bytes()))
      Largest = Each;
  return Largest;
}

bool MemoryBudget::tryReserve(MemoryReservation &For, std::size_t Bytes) {
  while (Bytes > m_Limit - m_Used) {
    MemoryReservation *Largest = largestDroppable();
    if (Largest == nullptr || Largest->bytes() <= For.bytes() + Bytes)
      return false;
    Largest->drop();
  }
  m_Used += Bytes;
  m_Holders.insert(&For);
  return true;
}

void MemoryBudget::release(MemoryReservation &From) {
  m_Used -= From.bytes();
  m_Holders.erase(&From);
}

} // namespace carawaypond::http
