#include "relay/quota_ledger.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// Time after which a new leader no longer waits for the reports of relays.
/// They look for a leader every 50 ms.
constexpr millis LearningTime{1000};
/// Part of the slack that is granted before all relays have reported.
constexpr double EarlyPart = 0.2;
/// The average of a relay without contact is reserved for this long. It may
/// have lost power for good; then the account gets less until the time is over.
constexpr millis ReserveTime{20'000};
/// A relay holds one token and what it spends in 0.3 s: the time between two
/// reports and a round trip, three times.
constexpr double StockPart = 0.06;
/// Shortest time for which an account stays limited.
constexpr millis MinLimitedTime{1000};
/// Debt at which an account becomes limited, as a part of `MaxDebt`. It opens
/// again without debt.
constexpr double LimitedDebt = 0.5;
/// While less than this part of `MaxDebt` may still be permitted, tokens in
/// stock are asked back: the next requests would have to wait for them.
constexpr double MinRoom = 0.75;
/// Requests wait for tokens in stock at other relays for this long after those
/// were asked to give them back.
constexpr millis ReturnTime{50};
constexpr millis ForgetInterval{1000};

} // namespace

void quota_ledger::start(std::uint32_t Relays, instant Now) {
  clear();
  ExpectedRelays = Relays;
  StartedAt = Now;
}

bool quota_ledger::isLearning(instant Now) const {
  return Now - StartedAt < LearningTime && ReportedRelays < ExpectedRelays;
}

quota_ledger::outcome
quota_ledger::setAccounts(const std::optional<std::vector<account>> &New,
                          instant Now) {
  outcome Out;
  std::map<account_name, account_state> Kept;
  for (const account &Each : New ? *New : std::vector<account>{}) {
    if (Each.Rate <= request_rate{})
      continue;
    const quota_bounds Bounds(Each.Rate, Each.Burst);
    const auto Known = Accounts.find(Each.Name);
    account_state &Account = Kept[Each.Name];
    if (Known == Accounts.end()) {
      Account.Bounds = Bounds;
      Account.Level = Bounds.Capacity;
      Account.UpdatedAt = Now;
      continue;
    }
    advance(Known->second, Now);
    Account = std::move(Known->second);
    const bool IsLower = Bounds.Window < Account.Bounds.Window;
    Account.Bounds = Bounds;
    Account.Level = std::min(Account.Level, Bounds.Capacity);
    if (IsLower)
      limit(Each.Name, Account, {}, Now, Out);
  }
  Accounts = std::move(Kept);
  return Out;
}

void quota_ledger::advance(account_state &Account, instant Now) {
  const double Rate = Account.Bounds.Refill.PerSecond - Account.ChargedRate;
  const double Seconds = (Now - Account.UpdatedAt).Count / 1000;
  Account.Level =
      std::min(Account.Bounds.Capacity, Account.Level + Rate * Seconds);
  Account.UpdatedAt = Now;
}

void quota_ledger::onJoined(vm_id Relay, incarnation_id Incarnation,
                            instant Now) {
  const auto Known = Relays.find(Relay);
  if (Known != Relays.end() && Known->second.Incarnation != Incarnation)
    retire(Relay, Now);
  relay_state &State = Relays[Relay];
  State.Incarnation = Incarnation;
  State.HeardAt = Now;
}

void quota_ledger::onHeard(vm_id Relay, instant Now) {
  const auto Known = Relays.find(Relay);
  if (Known == Relays.end())
    return;
  Known->second.HeardAt = Now;
  setPresent(Relay, Known->second, Now);
}

void quota_ledger::onLeft(vm_id Relay, bool IsStopping, instant Now) {
  const auto Known = Relays.find(Relay);
  if (Known == Relays.end())
    return;
  if (IsStopping)
    retire(Relay, Now);
  else
    setAway(Relay, Known->second, Now);
}

void quota_ledger::setAway(vm_id Relay, relay_state &State, instant Now) {
  if (State.AwaySince)
    return;
  State.AwaySince = Now;
  for (auto &[Name, Account] : Accounts) {
    const auto Found = Account.Relays.find(Relay);
    if (Found == Account.Relays.end())
      continue;
    relay_share &Share = Found->second;
    advance(Account, Now);
    const std::uint32_t Recent =
        std::max(Share.Recent.total(State.HeardAt), Share.Recent.total(Now));
    Share.Pending = 0;
    Share.Reserved =
        limitWithoutContact(Recent, Share.Allowance, Account.IsLimited);
    Share.ChargedRate = Recent / 5.0;
    Account.Recent.subtract(Share.Recent);
    Account.Allowances -= Share.Allowance;
    Account.Reserved += Share.Reserved;
    Account.ChargedRate += Share.ChargedRate;
  }
}

/// Gives back to the bucket what was charged for the time without contact: the
/// relay reports what it spent.
void quota_ledger::setPresent(vm_id Relay, relay_state &State, instant Now) {
  if (!State.AwaySince)
    return;
  const double Seconds = (Now - *State.AwaySince).Count / 1000;
  State.AwaySince.reset();
  for (auto &[Name, Account] : Accounts) {
    const auto Found = Account.Relays.find(Relay);
    if (Found == Account.Relays.end())
      continue;
    relay_share &Share = Found->second;
    advance(Account, Now);
    Account.Level = std::min(Account.Bounds.Capacity,
                             Account.Level + Share.ChargedRate * Seconds);
    Account.Recent.add(Share.Recent);
    Account.Allowances += Share.Allowance;
    Account.Reserved -= Share.Reserved;
    Account.ChargedRate -= std::exchange(Share.ChargedRate, 0);
    Share.Reserved = 0;
  }
}

/// Forgets a relay. What it held counts as spent, unless it was out of contact
/// for longer than its average is reserved.
void quota_ledger::retire(vm_id Relay, instant Now) {
  relay_state &State = Relays.at(Relay);
  const bool IsExpired =
      State.AwaySince && Now - *State.AwaySince > ReserveTime;
  if (!IsExpired)
    setPresent(Relay, State, Now);
  for (auto &[Name, Account] : Accounts) {
    const auto Found = Account.Relays.find(Relay);
    if (Found == Account.Relays.end())
      continue;
    const relay_share &Share = Found->second;
    advance(Account, Now);
    if (IsExpired) {
      Account.Reserved -= Share.Reserved;
      Account.ChargedRate -= Share.ChargedRate;
    } else {
      Account.Allowances -= Share.Allowance;
      Account.Recent.add(Share.Allowance, Now);
      Account.Level -= Share.Allowance - Share.Prepaid;
    }
    Account.Relays.erase(Found);
  }
  Relays.erase(Relay);
}

/// Sets the level to that of a bucket which was full 5 s ago and served what
/// the relays reported.
void quota_ledger::replay(account_state &Account, instant Now) {
  const std::vector<std::uint32_t> ByAge = Account.Recent.byAge(Now);
  const double PerBin =
      Account.Bounds.Refill.PerSecond * recent_count::BinWidth.Count / 1000;
  double Level = Account.Bounds.Capacity;
  for (std::size_t Age = ByAge.size(); Age > 0; --Age)
    Level = std::min(Account.Bounds.Capacity, Level + PerBin) - ByAge[Age - 1];
  Account.Level = Level;
}

void quota_ledger::apply(account_state &Account, relay_share &Share,
                         const quota_report &Report, bool IsFirst,
                         instant Now) {
  const bool IsKnown = Share.Spent > 0 && Share.Spent <= Report.Spent;
  std::uint32_t New = Report.New;
  if (IsKnown)
    New = static_cast<std::uint32_t>(Report.Spent - Share.Spent);
  else if (IsFirst)
    New = 0;
  for (recent_count *Each : {&Account.Recent, &Share.Recent}) {
    Each->add(New, Now);
    for (std::size_t Age = 0; IsFirst && !IsKnown && Age < Report.Recent.size();
         ++Age)
      Each->add(Report.Recent[Age],
                Now - recent_count::BinWidth * static_cast<double>(Age));
  }
  const std::uint32_t Covered = std::min(New, Share.Prepaid);
  Share.Prepaid -= Covered;
  Account.Level -= New - Covered;
  if (IsFirst && !IsKnown) {
    if (isLearning(Now))
      replay(Account, Now);
    else
      for (const std::uint32_t Each : Report.Recent)
        Account.Level -= Each;
  }
  const std::uint32_t Old = Share.Allowance;
  Share.Allowance =
      IsFirst ? Report.Held : Old - std::min(Old, New + Report.Returned);
  Account.Allowances = Account.Allowances - Old + Share.Allowance;
  const std::uint32_t Unused =
      Share.Prepaid - std::min(Share.Prepaid, Share.Allowance);
  Share.Prepaid -= Unused;
  Account.Level += Unused;
  Share.Spent = Report.Spent;
  if (Share.Pending == 0)
    Share.PendingSince = Now;
  Share.Pending = (IsFirst ? 0 : Share.Pending) + Report.Wanted;
}

quota_ledger::outcome quota_ledger::on(vm_id Relay, bool IsFirst,
                                       const std::vector<quota_report> &Reports,
                                       instant Now) {
  outcome Out;
  const auto Known = Relays.find(Relay);
  if (Known == Relays.end())
    return Out;
  onHeard(Relay, Now);
  for (const quota_report &Each : Reports) {
    const auto Found = Accounts.find(Each.Account);
    if (Found == Accounts.end())
      continue;
    account_state &Account = Found->second;
    advance(Account, Now);
    apply(Account, Account.Relays[Relay], Each, IsFirst, Now);
  }
  if (IsFirst && !std::exchange(Known->second.HasReported, true))
    ++ReportedRelays;
  for (const quota_report &Each : Reports) {
    const auto Found = Accounts.find(Each.Account);
    if (Found == Accounts.end()) {
      // The relay has an older catalog, in which the account has a rate.
      if (Each.Wanted > 0)
        Out[Relay].push_back(
            {Each.Account, Each.Wanted, Each.Wanted, false, {}, {}});
      continue;
    }
    const account_state &Account = Found->second;
    if (Account.Level < -Account.Bounds.MaxDebt * LimitedDebt)
      limit(Each.Account, Found->second, Relay, Now, Out);
    if (Each.Returned > 0)
      servePending(Each.Account, Found->second, Now, Out);
    serve(Each.Account, Found->second, Relay, true, Now, Out);
  }
  return Out;
}

/// Requests that may still be permitted for the last 5 s.
double quota_ledger::room(const account_state &Account, instant Now) const {
  const double Left = Account.Bounds.Window - Account.Recent.total(Now) -
                      Account.Allowances - Account.Reserved;
  if (!isLearning(Now))
    return Left;
  return std::min(Left, Account.Bounds.Slack * EarlyPart - Account.EarlyTokens);
}

/// Tokens that the bucket has for requests that wait.
double quota_ledger::tokens(const account_state &Account) {
  return Account.Level + Account.Bounds.MaxDebt;
}

/// Lets relays give back the tokens that they hold in stock, except for the one
/// that is answered anyway.
void quota_ledger::limit(const account_name &Name, account_state &Account,
                         vm_id Answered, instant Now, outcome &Out) {
  if (Account.IsLimited)
    return;
  Account.IsLimited = true;
  Account.LimitedAt = Now;
  for (auto &[Relay, Share] : Account.Relays) {
    if (Share.Allowance == 0 || Share.IsToldLimited || Relay == Answered)
      continue;
    Share.IsToldLimited = true;
    quota_grant &Grant = Out[Relay].emplace_back();
    Grant.Account = Name;
    Grant.IsLimited = true;
  }
}

/// Lets relays give back up to `MaxDebt` tokens, first those that have not seen
/// the account in the last 5 s. Begins after the relay `After`.
void quota_ledger::takeBackSome(const account_name &Name,
                                account_state &Account, vm_id After,
                                instant Now, outcome &Out) {
  if (Account.IsLimited || Now - Account.TakenBackAt < ReturnTime)
    return;
  Account.TakenBackAt = Now;
  double Wanted = Account.Bounds.MaxDebt;
  for (const bool IsIdleOnly : {true, false}) {
    auto Next = Account.Relays.upper_bound(After);
    for (std::size_t I = 0; I < Account.Relays.size() && Wanted > 0;
         ++I, ++Next) {
      if (Next == Account.Relays.end())
        Next = Account.Relays.begin();
      relay_share &Share = Next->second;
      if (Share.Allowance == 0 || Share.IsToldLimited ||
          (IsIdleOnly && Share.Recent.total(Now) > 0))
        continue;
      Wanted -= Share.Allowance;
      Share.IsToldLimited = true;
      quota_grant &Grant = Out[Next->first].emplace_back();
      Grant.Account = Name;
      Grant.IsLimited = true;
    }
  }
}

std::uint32_t quota_ledger::give(account_state &Account, relay_share &Share,
                                 double Count, instant Now) const {
  if (Count < 1)
    return 0;
  const auto Tokens = static_cast<std::uint32_t>(Count);
  Share.Allowance += Tokens;
  Account.Allowances += Tokens;
  if (isLearning(Now))
    Account.EarlyTokens += Tokens;
  return Tokens;
}

/// Tells `Count` requests when tokens are expected for them: one time each,
/// over all relays in order of arrival.
void quota_ledger::refuse(account_state &Account, std::uint32_t Count,
                          quota_grant &Out, instant Now) {
  const millis Interval = Account.Bounds.Refill.interval();
  const instant First = Now + Interval * std::max(1.0, 1 - tokens(Account));
  if (Account.NextSlot < First ||
      Account.NextSlot > Now + longestReturn(Interval))
    Account.NextSlot = First;
  Out.RetryIn = Account.NextSlot - Now;
  Out.Interval = Interval;
  Account.NextSlot = Account.NextSlot + Interval * Count;
}

void quota_ledger::serve(const account_name &Name, account_state &Account,
                         vm_id Relay, bool IsAnswer, instant Now,
                         outcome &Out) {
  relay_share &Share = Account.Relays[Relay];
  quota_grant Grant;
  Grant.Account = Name;
  const bool HadPending = Share.Pending > 0;
  Grant.Tokens = give(Account, Share,
                      std::min({static_cast<double>(Share.Pending),
                                tokens(Account), room(Account, Now)}),
                      Now);
  Grant.Answered = Grant.Tokens;
  Share.Pending -= Grant.Tokens;
  Share.Prepaid += Grant.Tokens;
  Account.Level -= Grant.Tokens;
  if (HadPending && !isLearning(Now) && tokens(Account) >= 1 &&
      Account.Allowances > Share.Allowance) {
    if (Share.Pending > 0)
      limit(Name, Account, Relay, Now, Out);
    else if (room(Account, Now) < Account.Bounds.MaxDebt * MinRoom)
      takeBackSome(Name, Account, Relay, Now, Out);
  }
  const bool AreReturnsDue = Account.IsLimited && tokens(Account) >= 1 &&
                             Now - Account.LimitedAt < ReturnTime &&
                             Account.Allowances > Share.Allowance;
  if (Share.Pending > 0 && !AreReturnsDue) {
    Grant.Answered += Share.Pending;
    refuse(Account, std::exchange(Share.Pending, 0), Grant, Now);
  }
  if (!Account.IsLimited && !isLearning(Now)) {
    const double Stock = 1 + std::floor(Share.Recent.total(Now) * StockPart);
    Grant.Tokens += give(Account, Share,
                         std::min(Stock - Share.Allowance,
                                  room(Account, Now) - Account.Bounds.MaxDebt),
                         Now);
  }
  const bool IsNews = std::exchange(Share.IsToldLimited, Account.IsLimited) !=
                      Account.IsLimited;
  Grant.IsLimited = Account.IsLimited;
  if (Grant.Tokens > 0 || Grant.Answered > 0 || IsNews ||
      (IsAnswer && HadPending))
    Out[Relay].push_back(std::move(Grant));
}

/// Serves the requests that wait for tokens, in order of arrival.
void quota_ledger::servePending(const account_name &Name,
                                account_state &Account, instant Now,
                                outcome &Out) {
  std::vector<std::pair<instant, vm_id>> Waiting;
  for (const auto &[Relay, Share] : Account.Relays)
    if (Share.Pending > 0)
      Waiting.emplace_back(Share.PendingSince, Relay);
  std::sort(Waiting.begin(), Waiting.end());
  for (const auto &[Since, Relay] : Waiting)
    serve(Name, Account, Relay, false, Now, Out);
}

void quota_ledger::tick(instant Now) {
  std::vector<vm_id> Expired;
  for (auto &[Relay, State] : Relays) {
    if (Now - State.HeardAt > QuotaContactTime)
      setAway(Relay, State, Now);
    if (State.AwaySince && Now - *State.AwaySince > ReserveTime)
      Expired.push_back(Relay);
  }
  for (const vm_id Each : Expired)
    retire(Each, Now);
  const bool IsForgetDue = Now - ForgottenAt >= ForgetInterval;
  if (IsForgetDue)
    ForgottenAt = Now;
  for (auto &[Name, Account] : Accounts) {
    if (IsForgetDue)
      forgetIdle(Account, Now);
    if (!Account.IsLimited || Now - Account.LimitedAt < MinLimitedTime)
      continue;
    advance(Account, Now);
    if (Account.Level >= 0 && room(Account, Now) >= Account.Bounds.MaxDebt)
      Account.IsLimited = false;
  }
}

/// Keeps the memory in proportion to the requests of the last 5 s and the
/// tokens in stock.
void quota_ledger::forgetIdle(account_state &Account, instant Now) {
  std::erase_if(Account.Relays, [&](const auto &Each) {
    const relay_share &Share = Each.second;
    return Share.Allowance == 0 && Share.Pending == 0 && Share.Reserved == 0 &&
           Share.Recent.total(Now) == 0;
  });
}

std::size_t quota_ledger::limitedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Accounts.begin(), Accounts.end(),
                    [](const auto &Each) { return Each.second.IsLimited; }));
}

} // namespace bulrush::relay
