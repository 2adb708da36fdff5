/// Health, load and latency estimates that one relay keeps for one endpoint.
#pragma once

#include "relay/cold_time.h"
#include "relay/concurrency_limit.h"
#include "relay/demand_meter.h"
#include "relay/directory.h"
#include "relay/endpoint_turns.h"
#include "relay/version_split.h"

#include <map>
#include <optional>
#include <utility>

namespace bulrush::relay {

/// Identifies an endpoint within one run of the relay; never reused.
using endpoint_no = numeric_id<struct endpoint_no_tag, std::uint32_t>;
/// Identifies one transmission of a request to an endpoint.
using attempt_no = numeric_id<struct attempt_no_tag, std::uint64_t>;

/// Health of an endpoint as inferred from its replies and probes.
enum class health_status : std::uint8_t {
  healthy,
  probation, ///< a probe succeeded; one request at a time until one succeeds
  suspect    ///< receives probes only
};

/// Result of an attempt, as far as it affects the endpoint's health.
enum class attempt_verdict : std::uint8_t {
  success,
  failure,     ///< error or malformed reply
  overload,    ///< the endpoint shed the request or closed a new connection
  unreachable, ///< no connection, a broken one, or another instance at the
               ///< address
  overdue,     ///< cancelled without a reply, some time after the request was
               ///< answered
  stale_connection, ///< the endpoint had closed a kept connection; may be
                    ///< healthy
  cancelled ///< cancelled by the relay or never sent; no fault of the endpoint
};

class endpoint_state {
public:
  endpoint_state(endpoint_no No, listed_endpoint Listed)
      : Number(No), Listed(std::move(Listed)), Limit(this->Listed.Slots) {}

  endpoint_no number() const { return Number; }
  const listed_endpoint &listed() const { return Listed; }
  health_status health() const { return Health; }

  /// Updates the listed data of the same identity; `AsOf` is when the list was
  /// read, which shows what was true at most `ListLag` before.
  void update(const listed_endpoint &Entry, instant AsOf, millis ListLag);
  /// Sets whether the endpoint's zone is out of service and gets no requests.
  void setZoneOut(bool IsOut) { IsZoneOut = IsOut; }
  /// What the policy of the service says about the endpoint's version.
  version_role versionRole() const { return Role; }
  void setVersionRole(version_role New) { Role = New; }
  /// Records that the directory no longer lists the endpoint.
  void markRemoved() { IsRemoved = true; }
  bool isRemoved() const { return IsRemoved; }
  bool isCold(instant Now) const { return Cold.isCold(Now); }
  /// Applies the remaining cold time that the endpoint itself reported.
  void setColdFor(millis Left, instant Now) { Cold.onStated(Left, Now); }
  /// Records a reply to a health check that says that the endpoint is healthy.
  void onHealthy(instant Now) { Cold.onHealthy(Now); }
  /// Whether the endpoint has not been cold, or is known to be warm since.
  bool isVerified() const { return Cold.isVerified(); }
  /// Whether the endpoint was cold and needs a health check before it gets
  /// requests again, which may be sent now.
  bool isCheckDue(instant Now) const {
    return !Cold.isVerified() && Health != health_status::suspect &&
           !isExcluded(Now);
  }

  /// Returns true on the first call only.
  bool markPreconnected() { return !std::exchange(IsPreconnected, true); }

  /// Records that an attempt was sent to the endpoint.
  void onSent(attempt_no Attempt, instant Now);
  /// Records the end of an attempt that typically takes `TypicalLatency`.
  /// Returns whether the endpoint became suspect.
  bool onEnded(attempt_no Attempt, attempt_verdict Verdict,
               millis TypicalLatency, instant Now);
  std::size_t inFlight() const { return InFlight.size(); }
  /// Age of the oldest request in flight; 0 if there is none.
  millis oldestInFlightAge(instant Now) const;

  /// Whether a request may be sent now, given at most `MaxInFlight` at a time.
  bool canAccept(std::size_t MaxInFlight, instant Now) const {
    return canAcceptAtAnyRate(MaxInFlight, Now) && hasTurn(Now);
  }
  /// The same, whatever the rate limit permits.
  bool canAcceptAtAnyRate(std::size_t MaxInFlight, instant Now) const;
  /// Whether the rate limit, if there is one, permits a request now.
  bool hasTurn(instant Now) const {
    return !RateLimit || RateLimit->Turns.hasTurn(Now);
  }
  /// Whether the endpoint is removed, leaving, cold, paused, in a zone that is
  /// out of service, or has a rate limit that permits no request now; ignores
  /// load and health.
  bool isExcluded(instant Now) const {
    return isWithdrawn() || isCold(Now) || isPaused(Now);
  }

  /// Records that the endpoint itself announced that it stops soon. Holds for
  /// the rest of its life, whatever the directory lists.
  void announceLeaving() { HasAnnouncedLeaving = true; }
  bool hasAnnouncedLeaving() const { return HasAnnouncedLeaving; }
  /// Whether the directory or the endpoint itself says that it stops soon.
  bool isLeaving() const { return Listed.IsLeaving || HasAnnouncedLeaving; }

  /// Records that the endpoint asked for no requests until `Until`. Afterwards
  /// it gets one request at a time until one succeeds.
  void pauseUntil(instant Until);
  /// Whether a pause or the rate limit permits no request now.
  bool isPaused(instant Now) const { return Now < pausedUntil(Now); }
  /// When the endpoint accepts requests again if nothing but a pause or its
  /// rate limit excludes it; `Never` otherwise.
  instant pauseEnd(instant Now) const;

  /// A limit on the requests of all relays together, stated by the endpoint.
  struct rate_limit {
    request_rate Rate;         ///< of all relays together
    endpoint_turns Turns;      ///< of this relay
    demand_meter Demand;       ///< of this relay
    instant LowAt;             ///< when `Rate` or a lower one was stated last
    bool IsUnreported = false; ///< the leader has not been told of `Rate` yet
    std::uint64_t Sent = 0;    ///< requests of this relay since the first one
  };
  /// The limit that the endpoint states now; none if it states none.
  const std::optional<rate_limit> &rateLimit() const { return RateLimit; }
  /// `EvenShare` is the part of the limit for each relay if all have the same,
  /// above 0. For `Phase`, without effect if there was a limit, see
  /// `endpoint_turns`.
  void setRateLimit(request_rate Rate, request_rate EvenShare, double Phase,
                    instant StatedAt, instant Now);
  /// The functions on a limit below need one to be set.
  endpoint_turns &turns() { return RateLimit->Turns; }
  void addDemand(instant Now) { RateLimit->Demand.add(Now); }
  void markLimitUnreported() { RateLimit->IsUnreported = true; }
  /// Returns whether the limit was unreported.
  bool markLimitReported() {
    return std::exchange(RateLimit->IsUnreported, false);
  }
  void liftRateLimit(instant StatedAt);
  /// Latest statement of a limit, or of none after one.
  instant limitStatedAt() const { return LimitStatedAt; }

  /// Counts as congestion: the client was answered while a request was still in
  /// flight.
  void onLateReply(instant Now) { Limit.onCongestion(Now); }

  /// Ratio of the current to the typical latency; decays to 1 without samples.
  double expectedSlowdown(instant Now) const;
  /// Expected latency, at the current load, of a request that typically takes
  /// `TypicalLatency`.
  millis expectedLatency(millis TypicalLatency, instant Now) const;
  /// Expected share of requests that fail, from 0 to 1; decays to 0.
  double expectedFailureRate(instant Now) const;
  /// Adds a sample: the latency of a request divided by the typical latency. A
  /// slow reply counts once a second one follows soon: a single one is a stall
  /// that is over.
  void observeSlowdown(double Sample, instant Now);

  // Health probes while suspect.
  bool isProbeDue(instant Now) const {
    return isProbeDueAtAnyRate(Now) && hasTurn(Now);
  }
  /// The same, whatever the rate limit permits.
  bool isProbeDueAtAnyRate(instant Now) const;
  /// When the next probe may be sent; `Never` if none is scheduled or only a
  /// change of the directory or of the zones out can permit one.
  instant nextProbe(instant Now) const;
  void onProbeSent(instant Now);
  /// Schedules probes until one succeeds, of an endpoint that has not failed.
  /// It needs no probation then.
  void startCheck(instant Now);
  void onProbeEnded(bool IsHealthy, instant Now);
  /// Stops requests and schedules probes until one succeeds.
  void markSuspect(instant Now);
  bool isProbing() const { return IsProbing; }
  std::uint32_t failedProbes() const { return FailedProbes; }
  /// Whether a probe has failed since the endpoint became suspect.
  bool isDown() const {
    return Health == health_status::suspect && FailedProbes > 0;
  }

private:
  /// Counts a request or probe that is sent now against the rate limit.
  void countAgainstLimit(instant Now);
  /// End of the pause, or next request that the rate limit permits.
  instant pausedUntil(instant Now) const;
  /// Whether the endpoint is removed, leaving or in a zone out of service.
  bool isWithdrawn() const { return IsRemoved || IsZoneOut || isLeaving(); }

  endpoint_no Number;
  listed_endpoint Listed;
  health_status Health = health_status::healthy;
  version_role Role = version_role::current;
  bool IsRemoved = false;
  bool IsZoneOut = false;
  bool IsPreconnected = false;
  bool HasAnnouncedLeaving = false;
  cold_time Cold;
  instant PausedUntil{-1e300};
  struct in_flight_attempt {
    instant SentAt;
    std::size_t Concurrency = 1; ///< requests in flight, this one included
  };
  std::map<attempt_no, in_flight_attempt> InFlight;
  concurrency_limit Limit;
  double Slowdown = 1;
  double LastSample = 1; ///< latest slowdown sample
  instant SlowdownAt{-1e300};
  double FailureRate = 0; ///< moving average
  instant FailureRateAt{-1e300};
  std::optional<rate_limit> RateLimit;
  instant LimitStatedAt{-1e300};
  bool IsProbing = false;
  bool IsOnlyChecked = false; ///< suspect for a check, not for a failure
  std::uint32_t FailedProbes = 0;
  instant ProbeAt = Never;
};

} // namespace bulrush::relay
