/// What relays and the registry's leader tell each other of the quotas of
/// accounts.
#pragma once

#include "relay/catalog.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace bulrush::relay {

/// From a relay to the leader: the use of one account at this relay.
struct quota_report {
  account_name Account;
  std::uint64_t Spent = 0;    ///< requests run since the relay's start
  std::uint32_t New = 0;      ///< of these, since the previous report
  std::uint32_t Returned = 0; ///< tokens given back since the previous report
  /// Requests that wait for a token and are not part of an earlier report to
  /// this leader.
  std::uint32_t Wanted = 0;
  std::uint32_t Held = 0; ///< tokens that the relay holds
  /// Requests run in the last 5 s, by age in steps of `recent_count::BinWidth`,
  /// the latest first; only in the first report to a leader.
  std::vector<std::uint32_t> Recent = {};

  bool operator==(const quota_report &) const = default;
};

/// From the leader to a relay: tokens and the state of one account.
struct quota_grant {
  account_name Account;
  std::uint32_t Tokens = 0; ///< requests that the relay may run in addition
  /// Wanted tokens that this message decides on, in the order of the reports.
  /// Those for which there is no token are refused.
  std::uint32_t Answered = 0;
  /// Relays hold no tokens in stock; each request needs one from the leader.
  bool IsLimited = false;
  millis RetryIn;  ///< when a token is expected for the first refused request
  millis Interval; ///< between the tokens of consecutive refused requests

  bool operator==(const quota_grant &) const = default;
};

/// Time without contact after which a relay admits by its own average, and
/// after which the leader reserves that average. Heartbeats pass every 400 ms
/// in both directions.
inline constexpr millis QuotaContactTime{600};
/// Factor on its average at which a relay without contact admits an account
/// that was open.
inline constexpr double OpenWithoutContact = 1.25;

/// Refused requests are told to return within this time. Beyond it the times
/// begin anew: clients do not wait longer.
inline millis longestReturn(millis Interval) {
  return std::max(millis{10'000}, Interval * 2);
}

/// The numbers that follow from an account's rate and burst.
struct quota_bounds {
  request_rate Rate;
  /// Rate at which the token bucket fills. The users count a request as within
  /// the quota while the requests of 5 s stay below the bound of the
  /// requirement, tolerance included, so the bucket permits that rate. With
  /// `Rate` alone, 11% of the attempts of clients were refused in a measured
  /// run although they were within the quota by that count.
  request_rate Refill;
  double Capacity = 1; ///< of the token bucket
  double Slack = 20;   ///< requests in 5 s that the requirement allows beyond
  /// Requests that may have run in the last 5 s or be permitted.
  double Window = 0;
  /// Requests for which tokens are granted after the bucket is empty, so that
  /// random arrivals below the rate are not refused. The debt is paid back.
  double MaxDebt = 0;

  quota_bounds() = default;
  quota_bounds(request_rate Rate, double Burst) : Rate(Rate) {
    const double Base = 5 * Rate.PerSecond + std::max(Burst, 0.0);
    Slack = 0.1 * Base + 20;
    // The rest of the slack is for relays without contact and for the first
    // second of a new leader.
    Window = Base + 0.8 * Slack;
    Refill = {Window / 5};
    Capacity = Window;
    MaxDebt = 0.25 * Slack;
  }
  bool operator==(const quota_bounds &) const = default;
};

/// Requests in any 5 s that a relay without contact may run.
inline std::uint32_t limitWithoutContact(std::uint32_t Recent,
                                         std::uint32_t Held, bool IsLimited) {
  const double Factor = IsLimited ? 1 : OpenWithoutContact;
  return static_cast<std::uint32_t>(std::floor((Recent + Held) * Factor));
}

} // namespace bulrush::relay
