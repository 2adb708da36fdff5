#include "relay/quota_meter.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// Time between two reports, unless a request waits for a token.
constexpr millis ReportInterval{100};
/// The same if a request waits, so that requests which arrive together share a
/// message.
constexpr millis UrgentInterval{2};
/// Tokens in stock are given back if none was used for this long. Each of 84
/// relays sees an account of 3 requests a second every 28 s. The leader asks
/// for them earlier if others need them.
constexpr millis StockTime{60'000};
constexpr millis IdleCheckInterval{1000};
/// An account is open while less than about half of its window is used.
constexpr double FirstRequestsPart = 0.5;
/// Bounds of the time to return if the leader did not state one.
constexpr millis MinRetryAfter{100};
constexpr millis MaxRetryAfter{5000};

} // namespace

void quota_meter::setAccounts(const std::optional<std::vector<account>> &New) {
  std::map<account_name, account_state> Kept;
  for (const account &Each : New ? *New : std::vector<account>{}) {
    if (Each.Rate <= request_rate{})
      continue;
    const auto Known = Accounts.find(Each.Name);
    account_state &Account = Kept[Each.Name];
    if (Known != Accounts.end())
      Account = std::move(Known->second);
    Account.Bounds = {Each.Rate, Each.Burst};
  }
  IsFirstDue |= Accounts.empty() && !Kept.empty();
  // Requests of accounts that no longer have a quota are admitted as if the
  // leader did not answer; see `takeTimedOut`.
  Accounts = std::move(Kept);
  std::erase_if(Unreported, [&](const account_name &Each) {
    return !Accounts.count(Each);
  });
}

void quota_meter::resetContact() {
  IsInDoubt = false;
  IsFirstDue = true;
  for (auto &[Name, Account] : Accounts) {
    Account.LimitWithoutContact.reset();
    Account.Asked = 0;
    Account.Answered = 0;
    for (waiting_request &Each : Account.Waiting)
      Each.AskNo = 0;
  }
}

void quota_meter::onLeaderFound(instant Now) {
  resetContact();
  HeardAt = Now;
}

void quota_meter::onHeard(instant Now) {
  if (!hasContact(Now))
    resetContact();
  HeardAt = Now;
}

quota_state quota_meter::stateOf(const account_state &Account,
                                 instant Now) const {
  if (!hasContact(Now))
    return quota_state::no_contact;
  return Account.IsLimited ? quota_state::limited : quota_state::open;
}

void quota_meter::markSpent(const account_name &Name) {
  Unreported.insert(Name);
}

quota_decision quota_meter::run(const account_name &Name,
                                account_state &Account, query_id Request,
                                instant ArrivedAt, instant Now) {
  ++Account.Spent;
  ++Account.Unreported;
  ++Account.Admitted;
  Account.UsedAt = Now;
  Account.Recent.add(1, Now);
  markSpent(Name);
  return {Request, true, stateOf(Account, Now), Now - ArrivedAt, {}};
}

quota_decision quota_meter::refuse(account_state &Account, query_id Request,
                                   instant ArrivedAt, millis RetryAfter,
                                   instant Now) {
  ++Account.OverQuota;
  return {Request, false, stateOf(Account, Now), Now - ArrivedAt, RetryAfter};
}

/// Whether a relay without contact that did not see an open account lately runs
/// a request of it. Most relays see an account less often than every 5 s, so
/// that without this a change of the leader refused a third of all requests for
/// a second. The draws of all relays add up to `FirstRequestsPart` of the
/// window.
bool quota_meter::drawFirstRequest(const account_state &Account) {
  const double Draw = static_cast<double>(Random() % 1024) / 1024;
  return !Account.IsLimited &&
         Draw * RelayCount < Account.Bounds.Window * FirstRequestsPart;
}

/// Runs in any 5 s what was run in the last 5 s with contact, and a quarter
/// more if the account was open. Tokens in stock are part of it.
quota_decision quota_meter::decideWithoutContact(const account_name &Name,
                                                 account_state &Account,
                                                 query_id Request,
                                                 instant ArrivedAt,
                                                 instant Now) {
  if (!Account.LimitWithoutContact) {
    const instant LostAt = std::min(Now, HeardAt + QuotaContactTime);
    const std::uint32_t Recent =
        std::max(Account.Recent.total(HeardAt), Account.Recent.total(LostAt));
    Account.LimitWithoutContact = limitWithoutContact(
        Recent, std::exchange(Account.Held, 0), Account.IsLimited);
    if (*Account.LimitWithoutContact == 0 && drawFirstRequest(Account))
      Account.LimitWithoutContact = 1;
  }
  if (Account.Recent.total(Now) < *Account.LimitWithoutContact)
    return run(Name, Account, Request, ArrivedAt, Now);
  return refuse(
      Account, Request, ArrivedAt,
      std::clamp(Account.Bounds.Rate.interval(), MinRetryAfter, MaxRetryAfter),
      Now);
}

std::optional<quota_decision> quota_meter::admit(const account_name &Name,
                                                 query_id Request,
                                                 millis MaxWait, instant Now) {
  const auto Found = Accounts.find(Name);
  if (Found == Accounts.end())
    return quota_decision{Request, true, quota_state::unlimited, {}, {}};
  account_state &Account = Found->second;
  if (!hasContact(Now))
    return decideWithoutContact(Name, Account, Request, Now, Now);
  if (Account.Waiting.empty() && Account.Held > 0) {
    --Account.Held;
    return run(Name, Account, Request, Now, Now);
  }
  Account.Waiting.push_back({Request, Now, Now + MaxWait, 0, {}});
  Waiters[Request] = Name;
  Unreported.insert(Name);
  IsReportUrgent = true;
  return std::nullopt;
}

bool quota_meter::remove(query_id Request) {
  const auto Found = Waiters.find(Request);
  if (Found == Waiters.end())
    return false;
  const auto Account = Accounts.find(Found->second);
  if (Account != Accounts.end())
    std::erase_if(Account->second.Waiting, [&](const waiting_request &Each) {
      return Each.Request == Request;
    });
  Waiters.erase(Found);
  return true;
}

void quota_meter::returnStock(const account_name &Name,
                              account_state &Account) {
  if (Account.Held == 0)
    return;
  Account.Returned += std::exchange(Account.Held, 0);
  Unreported.insert(Name);
  IsReportUrgent = true;
}

void quota_meter::apply(const quota_grant &Grant, account_state &Account,
                        std::vector<quota_decision> &Out, instant Now) {
  const account_name &Name = Grant.Account;
  Account.IsLimited = Grant.IsLimited;
  Account.Held += Grant.Tokens;
  Account.Answered += Grant.Answered;
  millis RetryIn = Grant.RetryIn;
  while (!Account.Waiting.empty()) {
    const waiting_request Next = Account.Waiting.front();
    if (Account.Held > 0) {
      --Account.Held;
      Out.push_back(run(Name, Account, Next.Request, Next.ArrivedAt, Now));
    } else if (Next.AskNo > 0 && Next.AskNo <= Account.Answered) {
      Out.push_back(
          refuse(Account, Next.Request, Next.ArrivedAt, RetryIn, Now));
      RetryIn += Grant.Interval;
      if (RetryIn > longestReturn(Grant.Interval))
        RetryIn = Grant.RetryIn;
    } else {
      break;
    }
    Waiters.erase(Next.Request);
    Account.Waiting.pop_front();
  }
  if (Account.IsLimited)
    returnStock(Name, Account);
}

std::vector<quota_decision>
quota_meter::on(const std::vector<quota_grant> &Grants, instant Now) {
  onHeard(Now);
  std::vector<quota_decision> Out;
  for (const quota_grant &Each : Grants) {
    const auto Found = Accounts.find(Each.Account);
    if (Found != Accounts.end())
      apply(Each, Found->second, Out, Now);
  }
  return Out;
}

/// A leader that has not sent anything since it was asked is taken as lost at
/// once: without this rule requests would be refused for 600 ms.
quota_decision quota_meter::decideTimedOut(const account_name &Name,
                                           account_state &Account,
                                           const waiting_request &Request,
                                           instant Now) {
  IsInDoubt |= Request.AskNo > 0 && HeardAt < Request.AskedAt;
  if (!hasContact(Now))
    return decideWithoutContact(Name, Account, Request.Request,
                                Request.ArrivedAt, Now);
  return refuse(
      Account, Request.Request, Request.ArrivedAt,
      std::clamp(Account.Bounds.Rate.interval(), MinRetryAfter, MaxRetryAfter),
      Now);
}

std::vector<quota_decision> quota_meter::takeTimedOut(instant Now) {
  std::vector<quota_decision> Out;
  if (Waiters.empty())
    return Out;
  std::set<account_name> Names;
  for (const auto &[Request, Name] : Waiters)
    Names.insert(Name);
  for (const account_name &Name : Names) {
    const auto Found = Accounts.find(Name);
    if (Found == Accounts.end()) {
      std::erase_if(Waiters, [&](const auto &Each) {
        if (Each.second != Name)
          return false;
        Out.push_back({Each.first, true, quota_state::unlimited, {}, {}});
        return true;
      });
      continue;
    }
    account_state &Account = Found->second;
    std::deque<waiting_request> Left;
    for (const waiting_request &Each : std::exchange(Account.Waiting, {})) {
      if (Each.Until > Now) {
        Left.push_back(Each);
        continue;
      }
      Waiters.erase(Each.Request);
      Out.push_back(decideTimedOut(Name, Account, Each, Now));
    }
    Account.Waiting = std::move(Left);
  }
  return Out;
}

void quota_meter::returnIdleStocks(instant Now) {
  if (Now - IdleCheckedAt < IdleCheckInterval)
    return;
  IdleCheckedAt = Now;
  for (auto &[Name, Account] : Accounts)
    if (Now - Account.UsedAt > StockTime)
      returnStock(Name, Account);
}

quota_report quota_meter::makeReport(const account_name &Name,
                                     account_state &Account,
                                     instant Now) const {
  quota_report Out;
  Out.Account = Name;
  Out.Spent = Account.Spent;
  Out.New = std::exchange(Account.Unreported, 0);
  Out.Returned = std::exchange(Account.Returned, 0);
  if (IsFirstDue) {
    Out.Held = Account.Held;
    Out.Recent = Account.Recent.byAge(Now);
  }
  for (waiting_request &Each : Account.Waiting) {
    if (Each.AskNo > 0)
      continue;
    Each.AskNo = ++Account.Asked;
    Each.AskedAt = Now;
    ++Out.Wanted;
  }
  return Out;
}

instant quota_meter::nextReport() const {
  return ReportedAt + (IsReportUrgent ? UrgentInterval : ReportInterval);
}

std::optional<quota_meter::reports> quota_meter::takeReports(instant Now) {
  if (Accounts.empty() || !hasContact(Now))
    return std::nullopt;
  returnIdleStocks(Now);
  if (!IsFirstDue && Unreported.empty())
    return std::nullopt;
  if (!IsFirstDue && Now < nextReport())
    return std::nullopt;
  reports Out;
  Out.IsFirst = IsFirstDue;
  for (auto &[Name, Account] : Accounts)
    if (Unreported.count(Name) ||
        (IsFirstDue && (Account.Held > 0 || !Account.Waiting.empty() ||
                        Account.Recent.total(Now) > 0)))
      Out.Reports.push_back(makeReport(Name, Account, Now));
  Unreported.clear();
  IsFirstDue = false;
  IsReportUrgent = false;
  ReportedAt = Now;
  return Out;
}

instant quota_meter::nextDue(instant Now) const {
  instant Next = Never;
  for (const auto &[Request, Name] : Waiters) {
    const auto Found = Accounts.find(Name);
    if (Found == Accounts.end())
      return Now;
    for (const waiting_request &Each : Found->second.Waiting)
      Next = std::min(Next, Each.Until);
  }
  if (Accounts.empty() || !hasContact(Now))
    return Next;
  if (IsFirstDue)
    return Now;
  if (!Unreported.empty())
    Next = std::min(Next, nextReport());
  return std::min(Next, IdleCheckedAt + IdleCheckInterval);
}

std::map<account_name, quota_counters>
quota_meter::counters(instant Now) const {
  std::map<account_name, quota_counters> Out;
  for (const auto &[Name, Account] : Accounts)
    Out[Name] = {Account.Admitted, Account.OverQuota, stateOf(Account, Now)};
  return Out;
}

} // namespace bulrush::relay
