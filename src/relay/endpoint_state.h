/// What one daemon believes of one endpoint.
#pragma once

#include "relay/directory.h"
#include "relay/flight_limit.h"

#include <map>
#include <utility>

namespace bulrush::relay {

/// An endpoint's life in one life of the daemon; never used again.
using endpoint_no = numeric_id<struct endpoint_no_tag, std::uint32_t>;
/// One sending of a request to an endpoint.
using attempt_no = numeric_id<struct attempt_no_tag, std::uint64_t>;

/// Whether requests may go to an endpoint, as far as its replies tell.
enum class endpoint_trust : std::uint8_t {
  trusted,
  probation, ///< a probe succeeded; one request at a time until one succeeds
  suspect    ///< gets probes only
};

/// How an attempt ended, as far as the endpoint's health is concerned.
enum class attempt_verdict : std::uint8_t {
  success,
  failure,          ///< it replied with an error
  overload,         ///< it replied that it did not run the request
  unreachable,      ///< no connection, or the connection broke
  overdue,          ///< given up while it was at work
  stale_connection, ///< it had let go of the connection; it may be well
  cancelled         ///< not its fault
};

class endpoint_state {
public:
  endpoint_state(endpoint_no No, listed_endpoint Listed)
      : Number(No), Listed(std::move(Listed)), Limit(this->Listed.Slots) {}

  endpoint_no number() const { return Number; }
  const listed_endpoint &listed() const { return Listed; }
  endpoint_trust trust() const { return Trust; }

  /// Takes what the list says of the same life; `AsOf` is when it was read.
  void update(const listed_endpoint &Entry, instant AsOf);
  /// Its zone takes no work.
  void setZoneOut(bool Out) { IsZoneOut = Out; }
  /// The list names it no longer.
  void retire() { IsGone = true; }
  bool isGone() const { return IsGone; }
  bool isCold(instant Now) const { return Now < ColdUntil; }
  /// The endpoint itself says how long it stays cold.
  void learnCold(millis Left, instant Now) { ColdUntil = Now + Left; }

  /// True the first time.
  bool warmOnce() { return !std::exchange(IsWarmed, true); }

  void sent(attempt_no Attempt, instant Now);
  /// Takes the end of an attempt that usually takes `Typical`; returns whether
  /// trust was lost by it.
  bool ended(attempt_no Attempt, attempt_verdict Verdict, millis Typical,
             instant Now);
  std::size_t inFlight() const { return InFlight.size(); }
  /// How long the oldest request in flight has waited.
  millis oldestWait(instant Now) const;

  /// Whether a request may be sent now, with at most so many in flight.
  bool isOpen(std::size_t Connections, instant Now) const;
  /// Whether the list or the endpoint bars it, beside load and trust.
  bool isBarred(instant Now) const;

  /// A request is still under way when its answer had to leave.
  void late(instant Now) { Limit.onCongestion(Now); }

  /// How many times longer than usual it takes; without a recent sample this
  /// drifts to 1.
  double expectedSlowness(instant Now) const;
  /// How long a request that usually takes `Typical` is likely to take now.
  millis expectedLatency(millis Typical, instant Now) const;
  /// The share of requests to expect to fail.
  double expectedFailures(instant Now) const;
  /// A request took `Slowness` times as long as such requests usually take.
  void observe(double Slowness, instant Now);

  // Probes of a suspect.
  bool wantsProbe(instant Now) const;
  instant nextProbe() const { return ProbeAt; }
  void probeSent(instant Now);
  void probeEnded(bool IsHealthy, instant Now);
  /// Gets probes only, until one succeeds.
  void suspect(instant Now);
  std::uint32_t failedProbes() const { return FailedProbes; }
  /// Whether a probe has failed since it became a suspect.
  bool isDown() const {
    return Trust == endpoint_trust::suspect && FailedProbes > 0;
  }

private:
  endpoint_no Number;
  listed_endpoint Listed;
  endpoint_trust Trust = endpoint_trust::trusted;
  bool IsGone = false;
  bool IsZoneOut = false;
  bool IsWarmed = false;
  instant ColdUntil{-1e300};
  struct flight {
    instant SentAt;
    std::size_t Level = 1; ///< in flight then, itself included
  };
  std::map<attempt_no, flight> InFlight;
  flight_limit Limit;
  double Slowness = 1;
  instant SlownessAt{-1e300};
  double Failures = 0; ///< share, smoothed
  instant FailuresAt{-1e300};
  bool IsProbing = false;
  std::uint32_t FailedProbes = 0;
  instant ProbeAt = Never;
};

} // namespace bulrush::relay
