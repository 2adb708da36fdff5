#include "query/cold_start.h"

#include "bulrushtray/endpoint_pause.h"
#include "query/service_time.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// A signal by which the endpoint itself reports whether it is cold. It counts
/// as warm only if it reported cold earlier in the same generation, because
/// some signals never change.
class warm_signal {
public:
  /// Updates the signal; returns true if it changed from cold to warm in one
  /// generation and is not distrusted.
  bool becomesWarm(bool IsCold, std::uint64_t Generation) {
    if (IsCold) {
      ColdGeneration = Generation;
      return false;
    }
    const bool BecameWarm = Generation != 0 && ColdGeneration == Generation;
    ColdGeneration = 0;
    return BecameWarm && !IsDistrusted;
  }
  void distrust() { IsDistrusted = true; }

private:
  std::uint64_t ColdGeneration = 0;
  bool IsDistrusted = false;
};

/// Infers a cold endpoint from its replies and failures. A cold endpoint gets
/// one request at a time; a fixed number of successes opens one more slot. All
/// slots open at once after a success in a generation in which the endpoint was
/// warm before, or when a `warm_signal` changes from cold to warm.
class inferred_cold_start final : public cold_start_state {
public:
  inferred_cold_start(const owner_settings &Settings, std::uint32_t Slots)
      : Settings(Settings), Slots(Slots),
        RequiredSuccesses(Settings.RampReplies),
        ProbeDelay(Settings.FirstProbeDelay),
        NormalLatency(Settings.InitialServiceTime) {}

  void reset() override {
    closeSlots();
    RequiredSuccesses = Settings.RampReplies;
    Generation = 0;
    WasColdFlagSet = false;
    BlockedUntil = {};
    ProbeDelay = Settings.FirstProbeDelay;
  }

  endpoint_cause onReply(const attempt_observation &Observation,
                         instant Now) override {
    if (isNewGeneration(Observation.Generation)) {
      closeSlots();
      NormalLatency = service_time(Settings.InitialServiceTime);
      WasColdFlagSet = Observation.Cold;
      return endpoint_cause::generation_changed;
    }
    switch (Observation.Kind) {
    case reply_kind::answered:
      return onAnswer(Observation, Now);
    case reply_kind::shed:
      return onFailure(Observation, endpoint_cause::shed, Now);
    case reply_kind::connection_lost:
      return onFailure(Observation, endpoint_cause::connection_lost, Now);
    case reply_kind::connect_refused:
      return onFailure(Observation, endpoint_cause::connect_refused, Now);
    case reply_kind::timed_out:
    case reply_kind::expired_running:
      return onTimeout(Observation, Now);
    default:
      return endpoint_cause::success;
    }
  }

  /// Health reports may be outdated or wrong, so one counts only as a
  /// `warm_signal`, and only after a reply confirmed its generation.
  void onHealth(health_state State, std::uint64_t Reported) override {
    if (isNewGeneration(Reported))
      closeSlots();
    if (Reported != Generation || ConfirmedEpoch != Epoch)
      return; // the report may describe an earlier generation
    const bool IsCold = State != health_state::warm;
    if (HealthReport.becomesWarm(IsCold, Reported) && !Warm)
      openOnSignal();
  }

  void setWarmGeneration(std::uint64_t Reported) override {
    WarmGeneration = Reported;
  }

  std::uint32_t allowedSlots() const override { return AllowedSlots; }
  instant blockedUntil() const override { return BlockedUntil; }
  bool isWarm() const override { return Warm; }
  std::uint32_t epoch() const override { return Epoch; }
  std::uint64_t warmGeneration() const override { return WarmGeneration; }

private:
  /// Maximum factor by which failures raise the successes per slot.
  static constexpr std::uint32_t MaxBackoffFactor = 8;
  /// Factor on the successes per slot while not all open slots are in use.
  static constexpr std::uint32_t UnsaturatedFactor = 2;

  /// Stores `Reported` and returns whether the endpoint has restarted. Neither
  /// the first known generation counts as a restart nor the previous one, which
  /// a late report may still carry.
  bool isNewGeneration(std::uint64_t Reported) {
    if (Reported == 0 || Reported == Generation ||
        Reported == PreviousGeneration)
      return false;
    const bool IsFirst = Generation == 0;
    PreviousGeneration = Generation;
    Generation = Reported;
    return !IsFirst;
  }

  void closeSlots() {
    Warm = false;
    AllowedSlots = 1;
    Successes = 0;
    WasSaturated = false;
    IsProvisional = false;
    SlowReplies = 0;
    ++Epoch;
  }

  endpoint_cause onAnswer(const attempt_observation &Observation, instant Now) {
    const bool IsFlagRaised = Observation.Cold && !WasColdFlagSet;
    WasColdFlagSet = Observation.Cold;
    const bool IsFlagCleared =
        ColdFlag.becomesWarm(Observation.Cold, Observation.Generation);
    if (Warm && IsFlagRaised) {
      closeSlots();
      WarmGeneration = 0;
      return endpoint_cause::cold_flag;
    }
    if (Warm && isSlow(Observation) && isLatencyJump(Observation, Now)) {
      closeSlots();
      WarmGeneration = 0;
      NormalLatency = service_time(Settings.InitialServiceTime);
      return endpoint_cause::latency_jump;
    }
    ProbeDelay = Settings.FirstProbeDelay;
    if (!isSlow(Observation)) {
      SlowReplies = 0;
      NormalLatency.add(Observation.Latency);
    }
    if (Observation.Epoch != Epoch)
      return endpoint_cause::success;
    ConfirmedEpoch = Epoch;
    onSuccess(Observation, IsFlagCleared);
    return endpoint_cause::success;
  }

  bool isSlow(const attempt_observation &Observation) const {
    return NormalLatency.hasSample() &&
           Observation.Latency >
               NormalLatency.mean() * Settings.LatencyJumpFactor;
  }

  /// Counts a slow reply only if its request was sent after the previous slow
  /// reply, so that one pause that delays several requests counts once. Returns
  /// whether the count reaches a latency jump.
  bool isLatencyJump(const attempt_observation &Observation, instant Now) {
    if (SlowReplies > 0 && Observation.Sent < LastSlowReplyAt)
      return false;
    LastSlowReplyAt = Now;
    return ++SlowReplies >= Settings.LatencyJumpReplies;
  }

  void onSuccess(const attempt_observation &Observation, bool IsFlagCleared) {
    if (Warm) {
      IsProvisional = IsProvisional && ++Successes < RequiredSuccesses;
      return;
    }
    const bool WasWarm = WarmGeneration != 0 && !Observation.Cold &&
                         Observation.Generation == WarmGeneration;
    if (WasWarm)
      openAllSlots();
    else if (IsFlagCleared)
      openOnSignal();
    else
      rampUp(Observation);
  }

  void openAllSlots() {
    Warm = true;
    AllowedSlots = Slots;
    Successes = 0;
    WarmGeneration = Generation;
  }

  void openOnSignal() {
    openAllSlots();
    IsProvisional = true;
  }

  void rampUp(const attempt_observation &Observation) {
    ++Successes;
    WasSaturated |= Observation.Saturated;
    if (Successes < RequiredSuccesses * (WasSaturated ? 1 : UnsaturatedFactor))
      return;
    Successes = 0;
    WasSaturated = false;
    AllowedSlots = std::min(AllowedSlots + 1, Slots);
    if (AllowedSlots < Slots)
      return;
    openAllSlots();
    RequiredSuccesses = Settings.RampReplies;
  }

  endpoint_cause onFailure(const attempt_observation &Observation,
                           endpoint_cause Cause, instant Now) {
    if (Observation.Epoch != Epoch)
      return Cause; // sent before the slots were closed
    if (IsProvisional) {
      ColdFlag.distrust();
      HealthReport.distrust();
    }
    if (Cause == endpoint_cause::shed || Cause == endpoint_cause::timed_out)
      WarmGeneration = 0; // same generation, but its capacity is lower now
    const bool WasProbe = !Warm && AllowedSlots == 1;
    if (!Warm && !WasProbe)
      RequiredSuccesses = std::min(RequiredSuccesses * 2,
                                   Settings.RampReplies * MaxBackoffFactor);
    closeSlots();
    BlockedUntil =
        Now + std::max(ProbeDelay, endpointPause(Observation.RetryAfter));
    if (WasProbe)
      ProbeDelay = std::min(ProbeDelay * 2, Settings.MaxProbeDelay);
    return Cause;
  }

  /// Ignores the timeout of a request that was sent shortly before its
  /// deadline. A single timeout of a warm endpoint may be a straggler, so there
  /// it counts only towards a latency jump.
  endpoint_cause onTimeout(const attempt_observation &Observation,
                           instant Now) {
    if (Observation.Latency <=
        NormalLatency.mean() * Settings.LatencyJumpFactor)
      return endpoint_cause::success;
    if (Warm && !isLatencyJump(Observation, Now))
      return endpoint_cause::success;
    return onFailure(Observation, endpoint_cause::timed_out, Now);
  }

  const owner_settings &Settings;
  std::uint32_t Slots;
  bool Warm = false;
  std::uint32_t AllowedSlots = 1;
  std::uint32_t Epoch = 0;
  std::uint32_t RequiredSuccesses; ///< successes needed to open the next slot
  std::uint32_t Successes = 0;     ///< since the last slot was opened
  bool WasSaturated = false;       ///< all allowed slots were in use since then
  instant BlockedUntil;
  millis ProbeDelay;
  std::uint64_t Generation = 0;
  std::uint64_t PreviousGeneration = 0;
  std::uint32_t ConfirmedEpoch =
      0; ///< epoch of the last answer to a request sent in the same epoch
  std::uint64_t WarmGeneration = 0;
  bool WasColdFlagSet = false;
  warm_signal ColdFlag;
  warm_signal HealthReport;
  bool IsProvisional = false; ///< opened by a signal and not confirmed yet
  service_time NormalLatency;
  std::uint32_t SlowReplies = 0; ///< consecutive
  instant LastSlowReplyAt;
};

/// Baseline: an endpoint is cold while its health reports state it.
class reported_cold_start final : public cold_start_state {
public:
  explicit reported_cold_start(std::uint32_t Slots) : Slots(Slots) {}

  void reset() override { Warm = true; }
  endpoint_cause onReply(const attempt_observation &, instant) override {
    return endpoint_cause::success;
  }
  void onHealth(health_state State, std::uint64_t) override {
    const bool IsNowWarm = State != health_state::cold;
    Epoch += IsNowWarm != Warm ? 1 : 0;
    Warm = IsNowWarm;
  }
  std::uint32_t allowedSlots() const override { return Warm ? Slots : 1; }
  instant blockedUntil() const override { return {}; }
  bool isWarm() const override { return Warm; }
  std::uint32_t epoch() const override { return Epoch; }
  void setWarmGeneration(std::uint64_t) override {}
  std::uint64_t warmGeneration() const override { return 0; }

private:
  std::uint32_t Slots;
  std::uint32_t Epoch = 0;
  bool Warm = true;
};

} // namespace

std::unique_ptr<cold_start_state> makeColdStart(const owner_settings &Settings,
                                                std::uint32_t Slots) {
  if (Settings.Cold == cold_policy::trust_health)
    return std::make_unique<reported_cold_start>(Slots);
  return std::make_unique<inferred_cold_start>(Settings, Slots);
}

} // namespace bulrush::query
