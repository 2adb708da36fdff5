/// Grants the quotas of accounts to relays.
#pragma once

#include "relay/quota_reports.h"
#include "relay/recent_count.h"

#include <map>
#include <optional>

namespace bulrush::relay {

/// Kept in the memory of the registry's leader. An account has a token bucket,
/// and each relay that sees its requests holds tokens that it may spend before
/// it reports. Deterministic, no I/O.
///
/// Two rules hold for each account:
/// - The requests of the last 5 s, the tokens that relays hold and what relays
///   without contact may run do not exceed `quota_bounds::Window`, unless a
///   lower limit has just come. This bounds any 5 s whatever the relays do.
/// - Once the account is limited, tokens are granted as the bucket fills. This
///   bounds the rate over longer times.
class quota_ledger {
public:
  /// By receiver.
  using outcome = std::map<vm_id, std::vector<quota_grant>>;

  /// Begins with what `Relays` relays will report. Grants little until they
  /// have, for at most a second.
  void start(std::uint32_t Relays, instant Now);
  void clear() { *this = {}; }
  /// Replaces the accounts; those without a rate are not kept. A lower limit
  /// keeps the debt, a higher one does not fill the bucket.
  outcome setAccounts(const std::optional<std::vector<account>> &Accounts,
                      instant Now);
  void onJoined(vm_id Relay, incarnation_id Incarnation, instant Now);
  /// Any message of the relay arrived.
  void onHeard(vm_id Relay, instant Now);
  /// The link to the relay is closed. It stops if `IsStopping`, else it may
  /// still run requests.
  void onLeft(vm_id Relay, bool IsStopping, instant Now);
  /// Applies the reports of one relay. `IsFirst`: its first to this leader, or
  /// the first after a loss of contact.
  outcome on(vm_id Relay, bool IsFirst,
             const std::vector<quota_report> &Reports, instant Now);
  /// Notices relays that are silent, and opens accounts again. To be called at
  /// least every 100 ms.
  void tick(instant Now);

  std::size_t count() const { return Accounts.size(); }
  std::size_t limitedCount() const;

private:
  /// An account at a relay.
  struct relay_share {
    std::uint64_t Spent = 0;     ///< reported, since the relay's start
    std::uint32_t Allowance = 0; ///< tokens granted and not reported as spent
    std::uint32_t Prepaid = 0;   ///< of these, taken from the bucket
    std::uint32_t Pending = 0;   ///< requests that wait for a token
    instant PendingSince;
    bool IsToldLimited = false;
    recent_count Recent;
    // While the relay is out of contact:
    std::uint32_t Reserved = 0; ///< requests that it may run in 5 s
    double ChargedRate = 0;     ///< taken from the bucket, per second
  };
  struct account_state {
    quota_bounds Bounds;
    double Level = 0; ///< of the bucket at `UpdatedAt`; below 0: debt
    instant UpdatedAt;
    bool IsLimited = false;
    instant LimitedAt;
    instant TakenBackAt{-1e300};
    instant NextSlot{-1e300}; ///< promised to the next refused request
    std::map<vm_id, relay_share> Relays;
    recent_count Recent;           ///< of all relays in contact
    std::uint32_t Allowances = 0;  ///< of all relays in contact
    std::uint32_t Reserved = 0;    ///< of all relays out of contact
    double ChargedRate = 0;        ///< of all relays out of contact
    std::uint32_t EarlyTokens = 0; ///< granted before all relays reported
  };
  struct relay_state {
    incarnation_id Incarnation;
    instant HeardAt;
    std::optional<instant> AwaySince;
    bool HasReported = false;
  };

  bool isLearning(instant Now) const;
  static void advance(account_state &Account, instant Now);
  void setAway(vm_id Relay, relay_state &State, instant Now);
  void setPresent(vm_id Relay, relay_state &State, instant Now);
  void retire(vm_id Relay, instant Now);
  static void replay(account_state &Account, instant Now);
  void apply(account_state &Account, relay_share &Share,
             const quota_report &Report, bool IsFirst, instant Now);
  double room(const account_state &Account, instant Now) const;
  static double tokens(const account_state &Account);
  static void limit(const account_name &Name, account_state &Account,
                    vm_id Answered, instant Now, outcome &Out);
  static void takeBackSome(const account_name &Name, account_state &Account,
                           vm_id After, instant Now, outcome &Out);
  std::uint32_t give(account_state &Account, relay_share &Share, double Count,
                     instant Now) const;
  static void refuse(account_state &Account, std::uint32_t Count,
                     quota_grant &Out, instant Now);
  void serve(const account_name &Name, account_state &Account, vm_id Relay,
             bool IsAnswer, instant Now, outcome &Out);
  void servePending(const account_name &Name, account_state &Account,
                    instant Now, outcome &Out);
  static void forgetIdle(account_state &Account, instant Now);

  std::map<account_name, account_state> Accounts;
  std::map<vm_id, relay_state> Relays;
  std::uint32_t ExpectedRelays = 0;
  std::uint32_t ReportedRelays = 0;
  instant StartedAt{-1e300};
  instant ForgottenAt{-1e300};
};

} // namespace bulrush::relay
