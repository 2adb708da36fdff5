/// Settings of the relay.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <cstdint>
#include <set>
#include <string>

namespace bulrush::relay {

/// Limits on hedges and retries.
struct budget_settings {
  /// Maximum ratio of additional attempts to the requests of a service, over
  /// all relays together.
  double Ratio = 0.2;
  /// Additional attempts allowed per `Window` beyond `Ratio`, over all relays
  /// together.
  double Slack = 54;
  millis Window{10'000};

  bool operator==(const budget_settings &) const = default;
};

struct relay_settings {
  budget_settings Budget;
  /// Assumed network delay of a client whose round-trip time is unknown: the
  /// time from the client's start of its clock to the arrival of the request,
  /// plus the time from sending the answer to its arrival at the client.
  millis DefaultClientDelay{12};
  double Cores = 1; ///< CPU cores available to this relay; may be below 1
  vm_id Self;       ///< the machine of this relay
  std::string Zone; ///< the zone of this relay
  /// Zones of other regions. Requests are not passed on to relays there.
  std::set<std::string> ForeignZones;
  /// Name of the header that tells endpoints and other relays the account of
  /// the client; empty: none is sent.
  std::string AccountHeader;
  /// The platform's list shows what was true at most this long ago.
  millis ListLag{1000};

  bool operator==(const relay_settings &) const = default;
};

} // namespace bulrush::relay
