#include "relay/endpoint_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrush::relay {

namespace {

constexpr double SlowdownWeight = 0.3;    ///< weight of a new sample
constexpr millis SlowdownDecayTime{3000}; ///< deviation from 1 decays to 1/e
/// Expected latency added per request in flight, as a share of the typical.
constexpr double LatencyPerInFlight = 0.35;
constexpr double FailureWeight = 0.2; ///< weight of a new outcome
constexpr millis FailureDecayTime{3000};
constexpr millis FirstProbeDelay{60};
constexpr millis MaxProbeDelay{1000};

/// Exponential decay over the time since `Since`: 1 at first, 1/e after
/// `DecayTime`.
double decayFactor(instant Since, millis DecayTime, instant Now) {
  return std::exp(-((Now - Since) / DecayTime));
}

} // namespace

void endpoint_state::update(const listed_endpoint &Entry, instant AsOf,
                            millis ListLag) {
  Listed = Entry;
  Cold.onListed(Entry.ColdFor, AsOf, ListLag);
}

void endpoint_state::onSent(attempt_no Attempt, instant Now) {
  const std::size_t Concurrency = InFlight.size() + 1;
  InFlight[Attempt] = {Now, Concurrency};
  countAgainstLimit(Now);
}

bool endpoint_state::onEnded(attempt_no Attempt, attempt_verdict Verdict,
                             millis TypicalLatency, instant Now) {
  const auto Found = InFlight.find(Attempt);
  if (Found == InFlight.end())
    return false;
  const in_flight_attempt Ended = Found->second;
  const millis Elapsed = Now - Ended.SentAt;
  InFlight.erase(Found);
  if (Verdict == attempt_verdict::cancelled ||
      Verdict == attempt_verdict::stale_connection)
    return false;
  if (Verdict == attempt_verdict::success)
    Limit.onSuccess(Ended.Concurrency);
  if (Verdict == attempt_verdict::overload ||
      Verdict == attempt_verdict::overdue)
    Limit.onCongestion(Now);
  const double Old =
      FailureRate * decayFactor(FailureRateAt, FailureDecayTime, Now);
  const bool IsFailure = Verdict != attempt_verdict::success &&
                         Verdict != attempt_verdict::overdue;
  FailureRate = Old + FailureWeight * ((IsFailure ? 1.0 : 0.0) - Old);
  FailureRateAt = Now;
  if (Verdict == attempt_verdict::unreachable) {
    const bool BecomesSuspect = Health != health_status::suspect;
    markSuspect(Now);
    return BecomesSuspect;
  }
  if (!IsFailure)
    observeSlowdown(Elapsed / TypicalLatency, Now);
  if (Verdict == attempt_verdict::success && Health == health_status::probation)
    Health = health_status::healthy;
  return false;
}

millis endpoint_state::oldestInFlightAge(instant Now) const {
  millis Oldest{0};
  for (const auto &[Attempt, Each] : InFlight)
    Oldest = std::max(Oldest, Now - Each.SentAt);
  return Oldest;
}

bool endpoint_state::canAcceptAtAnyRate(std::size_t MaxInFlight,
                                        instant Now) const {
  if (isWithdrawn() || isCold(Now) || !Cold.isVerified() || Now < PausedUntil ||
      Health == health_status::suspect)
    return false;
  if (Health == health_status::probation)
    return InFlight.empty();
  return InFlight.size() < std::min(MaxInFlight, Limit.limit());
}

double endpoint_state::expectedSlowdown(instant Now) const {
  return 1 + (Slowdown - 1) * decayFactor(SlowdownAt, SlowdownDecayTime, Now);
}

millis endpoint_state::expectedLatency(millis TypicalLatency,
                                       instant Now) const {
  const double Load =
      1 + LatencyPerInFlight * static_cast<double>(InFlight.size());
  return TypicalLatency * (expectedSlowdown(Now) * Load);
}

double endpoint_state::expectedFailureRate(instant Now) const {
  return FailureRate * decayFactor(FailureRateAt, FailureDecayTime, Now);
}

void endpoint_state::observeSlowdown(double Sample, instant Now) {
  // A slow reply of long ago is no second one.
  const bool IsLastRecent = Now - SlowdownAt <= SlowdownDecayTime;
  const double Last = std::exchange(LastSample, Sample);
  const double Confirmed = std::min(Sample, IsLastRecent ? Last : 1.0);
  const double Old = expectedSlowdown(Now);
  Slowdown = Old + (Confirmed - Old) * SlowdownWeight;
  SlowdownAt = Now;
}

void endpoint_state::startCheck(instant Now) {
  markSuspect(Now);
  IsOnlyChecked = true;
}

void endpoint_state::markSuspect(instant Now) {
  IsOnlyChecked = false;
  if (Health == health_status::suspect)
    return;
  Health = health_status::suspect;
  FailedProbes = 0;
  ProbeAt = Now;
}

bool endpoint_state::isProbeDueAtAnyRate(instant Now) const {
  return Health == health_status::suspect && !isWithdrawn() && !isCold(Now) &&
         Now >= PausedUntil && !IsProbing && Now >= ProbeAt;
}

instant endpoint_state::nextProbe(instant Now) const {
  if (Health != health_status::suspect || isWithdrawn())
    return Never;
  return std::max({ProbeAt, Cold.end(), pausedUntil(Now)});
}

void endpoint_state::pauseUntil(instant Until) {
  PausedUntil = std::max(PausedUntil, Until);
  if (Health == health_status::healthy)
    Health = health_status::probation;
}

instant endpoint_state::pauseEnd(instant Now) const {
  const instant Until = pausedUntil(Now);
  const bool IsOnlyPaused =
      Now < Until && !isWithdrawn() && !isDown() && Cold.end() <= Until;
  return IsOnlyPaused ? Until : Never;
}

instant endpoint_state::pausedUntil(instant Now) const {
  return RateLimit ? std::max(PausedUntil, RateLimit->Turns.nextTurn(Now))
                   : PausedUntil;
}

void endpoint_state::setRateLimit(request_rate Rate, request_rate EvenShare,
                                  double Phase, instant StatedAt, instant Now) {
  if (!RateLimit)
    RateLimit = rate_limit{
        Rate, endpoint_turns(EvenShare, Phase, Now), {}, Now, false, 0};
  RateLimit->Rate = Rate;
  RateLimit->LowAt = StatedAt;
  RateLimit->Turns.setEvenShare(EvenShare, Now);
  LimitStatedAt = StatedAt;
}

void endpoint_state::liftRateLimit(instant StatedAt) {
  RateLimit.reset();
  LimitStatedAt = StatedAt;
}

void endpoint_state::countAgainstLimit(instant Now) {
  if (!RateLimit)
    return;
  RateLimit->Turns.take(Now);
  ++RateLimit->Sent;
}

void endpoint_state::onProbeSent(instant Now) {
  countAgainstLimit(Now);
  IsProbing = true;
  ProbeAt = Never;
}

void endpoint_state::onProbeEnded(bool IsHealthy, instant Now) {
  IsProbing = false;
  if (IsHealthy) {
    Health = IsOnlyChecked ? health_status::healthy : health_status::probation;
    return;
  }
  IsOnlyChecked = false;
  const double Delay =
      FirstProbeDelay.Count * std::exp2(std::min(FailedProbes, 5U));
  ++FailedProbes;
  ProbeAt = Now + std::min(millis{Delay}, MaxProbeDelay);
}

} // namespace bulrush::relay
