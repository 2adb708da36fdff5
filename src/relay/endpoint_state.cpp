#include "relay/endpoint_state.h"

#include <algorithm>
#include <cmath>

namespace bulrush::relay {

namespace {

constexpr double SlownessWeight = 0.3; ///< of a new sample
constexpr millis SlownessMemory{3000}; ///< a belief fades to 1/e in this time
/// What one request in flight adds to the latency to expect, of the typical.
constexpr double LoadWeight = 0.35;
constexpr double FailureWeight = 0.2; ///< of a new verdict
constexpr millis FailureMemory{3000};
constexpr millis FirstProbeDelay{60};
constexpr millis MaxProbeDelay{1000};

double faded(instant Since, millis Memory, instant Now) {
  return std::exp(-((Now - Since) / Memory));
}

} // namespace

void endpoint_state::update(const listed_endpoint &Entry, instant AsOf) {
  Listed = Entry;
  if (Entry.ColdFor > millis{0})
    ColdUntil = std::max(ColdUntil, AsOf + Entry.ColdFor);
}

void endpoint_state::sent(attempt_no Attempt, instant Now) {
  const std::size_t Level = InFlight.size() + 1;
  InFlight[Attempt] = {Now, Level};
}

bool endpoint_state::ended(attempt_no Attempt, attempt_verdict Verdict,
                           millis Typical, instant Now) {
  const auto Found = InFlight.find(Attempt);
  if (Found == InFlight.end())
    return false;
  const flight Flight = Found->second;
  const millis Elapsed = Now - Flight.SentAt;
  InFlight.erase(Found);
  if (Verdict == attempt_verdict::cancelled ||
      Verdict == attempt_verdict::stale_connection)
    return false;
  if (Verdict == attempt_verdict::success)
    Limit.onSuccess(Flight.Level);
  if (Verdict == attempt_verdict::overload ||
      Verdict == attempt_verdict::overdue)
    Limit.onCongestion(Now);
  const double Old = Failures * faded(FailuresAt, FailureMemory, Now);
  const bool IsFailure = Verdict != attempt_verdict::success &&
                         Verdict != attempt_verdict::overdue;
  Failures = Old + FailureWeight * ((IsFailure ? 1.0 : 0.0) - Old);
  FailuresAt = Now;
  if (Verdict == attempt_verdict::unreachable) {
    const bool WasTrusted = Trust != endpoint_trust::suspect;
    suspect(Now);
    return WasTrusted;
  }
  if (!IsFailure)
    observe(Elapsed / Typical, Now);
  if (Verdict == attempt_verdict::success && Trust == endpoint_trust::probation)
    Trust = endpoint_trust::trusted;
  return false;
}

millis endpoint_state::oldestWait(instant Now) const {
  millis Oldest{0};
  for (const auto &[Attempt, Flight] : InFlight)
    Oldest = std::max(Oldest, Now - Flight.SentAt);
  return Oldest;
}

bool endpoint_state::isBarred(instant Now) const {
  return IsGone || IsZoneOut || Listed.IsLeaving || isCold(Now);
}

bool endpoint_state::isOpen(std::size_t Connections, instant Now) const {
  if (isBarred(Now) || Trust == endpoint_trust::suspect)
    return false;
  if (Trust == endpoint_trust::probation)
    return InFlight.empty();
  return InFlight.size() < std::min(Connections, Limit.limit());
}

double endpoint_state::expectedSlowness(instant Now) const {
  return 1 + (Slowness - 1) * faded(SlownessAt, SlownessMemory, Now);
}

millis endpoint_state::expectedLatency(millis Typical, instant Now) const {
  const double Load = 1 + LoadWeight * static_cast<double>(InFlight.size());
  return Typical * (expectedSlowness(Now) * Load);
}

double endpoint_state::expectedFailures(instant Now) const {
  return Failures * faded(FailuresAt, FailureMemory, Now);
}

void endpoint_state::observe(double Sample, instant Now) {
  const double Old = expectedSlowness(Now);
  Slowness = Old + (Sample - Old) * SlownessWeight;
  SlownessAt = Now;
}

void endpoint_state::suspect(instant Now) {
  if (Trust == endpoint_trust::suspect)
    return;
  Trust = endpoint_trust::suspect;
  FailedProbes = 0;
  ProbeAt = Now;
}

bool endpoint_state::wantsProbe(instant Now) const {
  return Trust == endpoint_trust::suspect && !IsGone && !IsProbing &&
         Now >= ProbeAt;
}

void endpoint_state::probeSent(instant) {
  IsProbing = true;
  ProbeAt = Never;
}

void endpoint_state::probeEnded(bool IsHealthy, instant Now) {
  IsProbing = false;
  if (IsHealthy) {
    Trust = endpoint_trust::probation;
    return;
  }
  const double Delay =
      FirstProbeDelay.Count * std::exp2(std::min(FailedProbes, 5U));
  ++FailedProbes;
  ProbeAt = Now + std::min(millis{Delay}, MaxProbeDelay);
}

} // namespace bulrush::relay
