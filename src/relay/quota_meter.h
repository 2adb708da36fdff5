/// Admits the requests of accounts within their quotas.
#pragma once

#include "relay/quota_reports.h"
#include "relay/recent_count.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace bulrush::relay {

/// How the quota of an account is observed.
enum class quota_state : std::uint8_t {
  unlimited, ///< the account has no rate
  open,      ///< the relay holds tokens in stock
  limited,   ///< each request needs a token from the leader
  no_contact ///< the relay admits by its own average
};

/// Whether a request is run.
struct quota_decision {
  query_id Request;
  bool IsAdmitted = false;
  quota_state State = quota_state::unlimited;
  millis Waited;
  millis RetryAfter; ///< when a token is expected; only if it is refused
};

/// Counters of one account since the start of the relay.
struct quota_counters {
  std::uint64_t Admitted = 0;
  std::uint64_t OverQuota = 0;
  quota_state State = quota_state::open;
};

/// Kept by each relay; see `quota_ledger` for the other side. A request is run
/// at once if the relay holds a token, else it waits for the leader's answer.
/// Without contact to the leader the relay runs, in any 5 s, what it ran in the
/// last 5 s with contact. Deterministic, no I/O.
class quota_meter {
public:
  struct reports {
    bool IsFirst = false; ///< to this leader, or since a loss of contact
    std::vector<quota_report> Reports;
  };

  /// `Seed` differs from relay to relay.
  explicit quota_meter(std::uint64_t Seed = 1)
      : Random(static_cast<std::uint32_t>(Seed | 1)) {}

  void setAccounts(const std::optional<std::vector<account>> &New);
  /// Number of relays that share the quotas, this one included.
  void setRelayCount(std::uint32_t Count) { RelayCount = Count; }
  /// This relay follows a leader from now on.
  void onLeaderFound(instant Now);
  /// Any message of the leader arrived.
  void onHeard(instant Now);
  /// Decides on a request, or returns nothing if it waits, for `MaxWait` at
  /// most.
  std::optional<quota_decision> admit(const account_name &Name,
                                      query_id Request, millis MaxWait,
                                      instant Now);
  /// Removes a waiting request. Returns false if it does not wait.
  bool remove(query_id Request);
  /// Applies grants; returns the decisions on requests that waited.
  std::vector<quota_decision> on(const std::vector<quota_grant> &Grants,
                                 instant Now);
  /// Decides on the requests whose wait has ended.
  std::vector<quota_decision> takeTimedOut(instant Now);
  /// Returns the reports that are due, if any.
  std::optional<reports> takeReports(instant Now);
  /// When `takeTimedOut` or `takeReports` should be called next.
  instant nextDue(instant Now) const;

  /// By account, only those with a rate.
  std::map<account_name, quota_counters> counters(instant Now) const;
  std::size_t waiting() const { return Waiters.size(); }

private:
  struct waiting_request {
    query_id Request;
    instant ArrivedAt;
    instant Until;
    std::uint64_t AskNo = 0; ///< number of its token wanted; 0: not reported
    instant AskedAt;
  };
  struct account_state {
    quota_bounds Bounds;
    std::uint64_t Spent = 0;
    std::uint32_t Unreported = 0;
    std::uint32_t Returned = 0;
    std::uint32_t Held = 0;
    bool IsLimited = false;
    instant UsedAt{-1e300};
    // Since the first report to this leader:
    std::uint64_t Asked = 0;             ///< tokens wanted
    std::uint64_t Answered = 0;          ///< of these, decided on
    std::deque<waiting_request> Waiting; ///< in order of arrival
    recent_count Recent;
    /// Requests in any 5 s without contact; none while there is contact.
    std::optional<std::uint32_t> LimitWithoutContact;
    std::uint64_t Admitted = 0;
    std::uint64_t OverQuota = 0;
  };

  bool hasContact(instant Now) const {
    return !IsInDoubt && Now - HeardAt <= QuotaContactTime;
  }
  quota_state stateOf(const account_state &Account, instant Now) const;
  quota_decision run(const account_name &Name, account_state &Account,
                     query_id Request, instant ArrivedAt, instant Now);
  quota_decision refuse(account_state &Account, query_id Request,
                        instant ArrivedAt, millis RetryAfter, instant Now);
  quota_decision decideWithoutContact(const account_name &Name,
                                      account_state &Account, query_id Request,
                                      instant ArrivedAt, instant Now);
  void apply(const quota_grant &Grant, account_state &Account,
             std::vector<quota_decision> &Out, instant Now);
  quota_decision decideTimedOut(const account_name &Name,
                                account_state &Account,
                                const waiting_request &Request, instant Now);
  bool drawFirstRequest(const account_state &Account);
  void returnStock(const account_name &Name, account_state &Account);
  void markSpent(const account_name &Name);
  void returnIdleStocks(instant Now);
  void resetContact();
  instant nextReport() const;
  quota_report makeReport(const account_name &Name, account_state &Account,
                          instant Now) const;

  std::minstd_rand Random;
  std::uint32_t RelayCount = 1;
  std::map<account_name, account_state> Accounts;
  std::map<query_id, account_name> Waiters;
  instant HeardAt{-1e300};
  bool IsInDoubt = false; ///< the leader did not answer in time
  bool IsFirstDue = false;
  /// A request waits that the leader does not know of, or it wants tokens back.
  bool IsReportUrgent = false;
  std::set<account_name> Unreported; ///< accounts with news for the leader
  instant ReportedAt{-1e300};
  instant IdleCheckedAt{-1e300};
};

} // namespace bulrush::relay
