/// What relays and the registry's leader tell each other of requests under
/// which endpoints went down.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "relay/directory.h"

#include <vector>

namespace bulrush::relay {

/// Equal for equal requests, whatever their ids; see `fingerprintOf`.
using request_fingerprint =
    numeric_id<struct request_fingerprint_tag, std::uint64_t>;

/// An endpoint went down `Age` ago while it ran a request.
struct crash_mark {
  endpoint_identity Endpoint;
  millis RanFor; ///< from the sending of the request
  millis Age;

  bool operator==(const crash_mark &) const = default;
};

/// From a relay to the leader.
struct crash_report {
  request_fingerprint Request;
  std::vector<crash_mark> Crashes;
  bool HasSucceeded = false; ///< an endpoint answered it: it is harmless
  millis QuarantineLeft;     ///< 0: this relay does not hold one

  bool operator==(const crash_report &) const = default;
};

enum class request_verdict : std::uint8_t {
  cleared,
  watched,    ///< relays report whether an endpoint answers it
  quarantined ///< no endpoint gets it
};

/// From the leader to the relays.
struct verdict_notice {
  request_fingerprint Request;
  request_verdict Verdict = request_verdict::cleared;
  millis QuarantineLeft; ///< 0 unless quarantined

  bool operator==(const verdict_notice &) const = default;
};

} // namespace bulrush::relay
