#include "relay/work_order.h"

#include <algorithm>
#include <tuple>

namespace bulrush::relay {

namespace {

/// Weight of a new sample of the time between two sends.
constexpr double IntervalWeight = 0.1;
/// Accounts without waiting parts that are remembered before those that were
/// not served ahead of the others are forgotten.
constexpr std::size_t MaxIdleAccounts = 16;

} // namespace

bool work_item::isBefore(const work_item &Other) const {
  return std::tie(SendBy, ArrivedAt, Request, Part) <
         std::tie(Other.SendBy, Other.ArrivedAt, Other.Request, Other.Part);
}

double work_order::level::startOf(const account_name &Account) const {
  const auto Found = Accounts.find(Account);
  return Found == Accounts.end() ? VirtualTime
                                 : std::max(VirtualTime, Found->second.Start);
}

void work_order::add(const work_item &Item) {
  level &Level = Levels[Item.Urgency];
  const double Start = Level.startOf(Item.Account);
  account_queue &Queue = Level.Accounts[Item.Account];
  if (Queue.Items.empty())
    Queue.Start = Start;
  else
    Level.Order.erase(positionOf(Queue));
  if (Queue.Items.insert(Item).second) {
    ++Level.Count;
    ++Count;
  }
  Level.Order.insert(positionOf(Queue));
}

void work_order::remove(const work_item &Item) {
  const auto Level = Levels.find(Item.Urgency);
  if (Level == Levels.end())
    return;
  const auto Queue = Level->second.Accounts.find(Item.Account);
  if (Queue == Level->second.Accounts.end() ||
      Queue->second.Items.count(Item) == 0)
    return;
  Level->second.Order.erase(positionOf(Queue->second));
  Queue->second.Items.erase(Item);
  if (!Queue->second.Items.empty())
    Level->second.Order.insert(positionOf(Queue->second));
  --Count;
  if (--Level->second.Count == 0)
    Levels.erase(Level);
  if (Count > 0)
    return;
  // Times without waiting parts say nothing of how fast they are sent.
  Samples = 0;
  SentAt = Never;
}

const work_item *work_order::next(const std::vector<work_item> &Skipped) const {
  const auto IsSkipped = [&](const work_item &Item) {
    return std::any_of(
        Skipped.begin(), Skipped.end(), [&](const work_item &Each) {
          return Each.Request == Item.Request && Each.Part == Item.Part;
        });
  };
  for (const auto &[Urgency, Level] : Levels)
    for (const account_position &Position : Level.Order)
      for (const work_item &Item :
           Level.Accounts.at(Position.First->Account).Items)
        if (!IsSkipped(Item))
          return &Item;
  return nullptr;
}

bool work_order::hasItemBefore(const work_item &Item) const {
  const work_item *First = next();
  if (!First || First->Urgency != Item.Urgency)
    return First && First->Urgency < Item.Urgency;
  const level &Level = Levels.at(Item.Urgency);
  const double Start = Level.startOf(Item.Account);
  const double FirstStart = Level.startOf(First->Account);
  return Start != FirstStart ? FirstStart < Start : First->isBefore(Item);
}

std::size_t work_order::waitingOfAccount(const work_item &Item) const {
  const auto Level = Levels.find(Item.Urgency);
  if (Level == Levels.end())
    return 0;
  const auto Queue = Level->second.Accounts.find(Item.Account);
  return Queue == Level->second.Accounts.end() ? 0 : Queue->second.Items.size();
}

bool work_order::isAmongFirst(const work_item &Item, std::size_t Limit) const {
  const auto Level = Levels.find(Item.Urgency);
  if (Level == Levels.end())
    return false;
  const auto Queue = Level->second.Accounts.find(Item.Account);
  if (Queue == Level->second.Accounts.end())
    return false;
  auto Each = Queue->second.Items.begin();
  for (std::size_t I = 0; I < Limit && Each != Queue->second.Items.end();
       ++I, ++Each)
    if (!Each->isBefore(Item))
      return true;
  return false;
}

void work_order::onSent(const work_item &Item, instant Now) {
  if (isEmpty())
    return;
  if (SentAt < Never) {
    const millis Sample = Now - SentAt;
    Interval =
        Samples == 0 ? Sample : Interval + (Sample - Interval) * IntervalWeight;
    ++Samples;
  }
  SentAt = Now;
  const auto Found = Levels.find(Item.Urgency);
  if (Found == Levels.end())
    return;
  level &Level = Found->second;
  const double Start = Level.startOf(Item.Account);
  account_queue &Queue = Level.Accounts[Item.Account];
  if (!Queue.Items.empty())
    Level.Order.erase(positionOf(Queue));
  Level.VirtualTime = Start;
  Queue.Start = Start + 1;
  if (!Queue.Items.empty())
    Level.Order.insert(positionOf(Queue));
  if (Level.Accounts.size() > 2 * Level.Order.size() + MaxIdleAccounts)
    std::erase_if(Level.Accounts, [&](const auto &Each) {
      return Each.second.Items.empty() &&
             Each.second.Start <= Level.VirtualTime;
    });
}

std::size_t work_order::ahead(const work_item &Item) const {
  std::size_t Out = 0;
  for (const auto &[Urgency, Level] : Levels) {
    if (Urgency > Item.Urgency)
      break;
    if (Urgency < Item.Urgency) {
      Out += Level.Count;
      continue;
    }
    const auto Own = Level.Accounts.find(Item.Account);
    const std::size_t OwnCount =
        Own == Level.Accounts.end() ? 0 : Own->second.Items.size();
    // Each other account gets one part for each of this account.
    for (const auto &[Name, Queue] : Level.Accounts)
      Out += Name == Item.Account ? OwnCount
                                  : std::min(OwnCount + 1, Queue.Items.size());
  }
  return Out;
}

std::optional<millis> work_order::interval() const {
  if (Samples < MinSamples)
    return std::nullopt;
  return Interval;
}

std::optional<millis> work_order::expectedWait(const work_item &Item) const {
  const auto Known = interval();
  if (!Known)
    return std::nullopt;
  return *Known * static_cast<double>(ahead(Item) + 1);
}

} // namespace bulrush::relay
