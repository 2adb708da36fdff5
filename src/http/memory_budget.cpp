#include "http/memory_budget.h"

namespace bulrush::http {

namespace {

/// A client that needs longer to send one request, or to read one response,
/// gives way to others.
constexpr millis SlowReadTime{3000};
constexpr millis SlowWriteTime{1000};
/// What holds less than this frees too little to give way.
constexpr std::size_t SmallRequestBytes = 16 << 10;
/// Accounts that are looked at for one that gives way.
constexpr std::size_t MaxCandidates = 64;
/// Part of the bound that the others may hold beside an account that counts as
/// alone.
constexpr std::size_t AloneShare = 16;

} // namespace

bool memory_budget::isAlone(const memory_account &Account) const {
  return usedBytes() - Account.bytes() <= MaxBytes / AloneShare;
}

memory_account *memory_budget::findSlowReader(const memory_account &Newest,
                                              instant Now) const {
  std::size_t Seen = 0;
  for (memory_account *Each : Readers) {
    if (++Seen > MaxCandidates || Now - Each->Reading->Since < SlowReadTime)
      break;
    if (Each != &Newest && Each->bytes() > SmallRequestBytes)
      return Each;
  }
  return nullptr;
}

memory_account *memory_budget::findSlowWriter(instant Now) const {
  if (Writers.empty() || Now - Writers.front()->Writing->Since < SlowWriteTime)
    return nullptr;
  return Writers.front();
}

void memory_budget::evict(memory_account &Account) {
  memory_holder &Holder = Account.Holder;
  Account.release();
  Holder.evict();
}

bool memory_budget::fitsRequest(const memory_account &Newest, std::size_t Bytes,
                                instant Now) {
  const std::size_t MaxRequestBytes =
      Bytes > SmallRequestBytes ? MaxBytes / 2 : MaxBytes / 4 * 3;
  while (RequestBytes > MaxRequestBytes || usedBytes() > MaxBytes) {
    memory_account *Slow = findSlowReader(Newest, Now);
    if (!Slow && usedBytes() > MaxBytes)
      Slow = findSlowWriter(Now);
    if (!Slow || Slow == &Newest)
      return isAlone(Newest);
    evict(*Slow);
  }
  return true;
}

bool memory_budget::fitsResponse(memory_account &Newest, instant Now) {
  while (usedBytes() > MaxBytes && !isAlone(Newest)) {
    memory_account *Next = findSlowWriter(Now);
    if (!Next)
      Next = findSlowReader(Newest, Now);
    if (!Next)
      Next = Writers.empty() ? &Newest : Writers.front();
    evict(*Next);
    if (Next == &Newest)
      return false;
  }
  return true;
}

void memory_account::setRequestBytes(std::size_t Bytes) {
  if (IsReleased)
    return;
  Budget->RequestBytes += Bytes - RequestBytes;
  RequestBytes = Bytes;
}

void memory_account::setResponseBytes(std::size_t Bytes) {
  if (IsReleased)
    return;
  Budget->ResponseBytes += Bytes - ResponseBytes;
  ResponseBytes = Bytes;
}

void memory_account::beginReading(instant Now) {
  if (Reading || IsReleased)
    return;
  Budget->Readers.push_back(this);
  Reading = {Now, std::prev(Budget->Readers.end())};
}

void memory_account::endReading() {
  if (Reading)
    Budget->Readers.erase(Reading->Position);
  Reading.reset();
}

void memory_account::beginWriting(instant Now) {
  if (Writing || IsReleased)
    return;
  Budget->Writers.push_back(this);
  Writing = {Now, std::prev(Budget->Writers.end())};
}

void memory_account::endWriting() {
  if (Writing)
    Budget->Writers.erase(Writing->Position);
  Writing.reset();
}

void memory_account::release() {
  setRequestBytes(0);
  setResponseBytes(0);
  endReading();
  endWriting();
  IsReleased = true;
}

} // namespace bulrush::http
