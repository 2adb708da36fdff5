/// Keeps requests that make endpoints go down from further ones.
#pragma once

#include "relay/crash_history.h"
#include "relay/events.h"

namespace bulrush::relay {

/// One relay's part: decides on its own crashes and on what the registry's
/// leader decided on those of all relays, and reports to the leader.
class request_quarantine {
public:
  void onCrash(request_fingerprint Request,
               const crash_history::known_crash &Crash, instant Now,
               relay_actions &Out);
  /// An endpoint has answered the request.
  void onSuccess(const opaque_request &Request, relay_actions &Out);
  void on(const verdicts_arrived &Event, instant Now);
  /// Tells a new leader all that this relay knows.
  void on(const leader_found &Event, instant Now, relay_actions &Out) const;

  /// Time for which no endpoint may get the request; 0 if one may.
  millis timeLeft(const opaque_request &Request, instant Now) const;
  bool holds(const opaque_request &Request, instant Now) const {
    return timeLeft(Request, Now) > millis{0};
  }
  std::size_t count(instant Now) const { return History.quarantined(Now); }

private:
  crash_history History;
};

} // namespace bulrush::relay
