#include "gateway/pool/ReplyMemory.h"

#include "gateway/pool/ReplyReservation.h"

namespace carawaypond::gateway {

ReplyReservation *ReplyMemory::largestDroppable() const {
  ReplyReservation *Largest = nullptr;
  for (ReplyReservation *Each : m_Holders)
    if (Each->isDroppable() &&
        (Largest == nullptr || Each->bytes() > Largest->bytes()))
      Largest = Each;
  return Largest;
}

bool ReplyMemory::tryReserve(ReplyReservation &For, std::size_t Bytes) {
  while (Bytes > m_Limit - m_Used) {
    ReplyReservation *Largest = largestDroppable();
    if (Largest == nullptr || Largest->bytes() <= For.bytes() + Bytes)
      return false;
    Largest->drop();
  }
  m_Used += Bytes;
  m_Holders.insert(&For);
  return true;
}

void ReplyMemory::release(ReplyReservation &From) {
  m_Used -= From.bytes();
  m_Holders.erase(&From);
}

} // namespace carawaypond::gateway
